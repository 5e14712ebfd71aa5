//! Calls between hosts that route requests, by tarpc over TCP.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use hawthorn_connections::table::ConnectionSlot;
use hawthorn_connections::table::ConnectionTable;
use hawthorn_route::clock_offset::Exchange;
use hawthorn_route::clock_offset::PeerClock;
use hawthorn_route::mirror::HeldValue;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::retry_after::retry_after;
use hawthorn_route::revision::StoreRevision;
use log::Level;
use tarpc::client;
use tarpc::context;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::InspectReader;
use tokio_util::sync::CancellationToken;

use crate::connection::evictions;
use crate::connection::listen;
use crate::connection::message::CatalogUpdate;
use crate::connection::message::GatherReply;
use crate::connection::message::GatherRequest;
use crate::connection::message::Remainder;
use crate::connection::message::TimedReply;
use crate::connection::message::TokenReply;
use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::process::loop_clock;
use crate::process::peer_updates;
use crate::process::peer_updates::UpdateRequest;
use crate::process::quota;
use crate::process::traffic;
use crate::process::traffic::TrafficCounter;
use crate::process::traffic::TrafficPurpose;
use crate::request::delegate;
use crate::request::remainder::RemainderRequest;

/// Maximum size of a message between hosts.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Time limit for opening a connection: a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a peer that did not answer is not used; by then the membership protocol has
/// determined whether it is alive.
const SUSPECT_DURATION: Duration = Duration::from_millis(1500);
/// Time limit for a reply to a ping, and without a byte of a reply on the store's items, in addition
/// to the requested wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time for an update of the store's items, in addition to the requested wait.
const MAX_TRANSFER: Duration = Duration::from_secs(5);
/// A peer that answered within this time counts as alive although it does not answer a ping in
/// time: longer than the typical gap between two replies of a busy peer.
const LIVENESS_TTL: Duration = Duration::from_millis(100);
/// Capacity of the queue of peers' requests for the serving thread; further ones are rejected.
const REQUEST_QUEUE_LEN: usize = 1024;

#[allow(missing_docs)]
mod service {
    use super::CatalogUpdate;
    use super::GatherReply;
    use super::GatherRequest;
    use super::HeldValue;
    use super::StoreRevision;
    use super::TimedReply;
    use super::TokenReply;

    /// Calls that each host serves for its peers.
    #[tarpc::service]
    pub trait EdgePeer {
        /// Gathers some shards of a query.
        async fn gather(request: GatherRequest) -> TimedReply;
        /// Returns more parts of a query, once `needed` have arrived or no more can arrive.
        async fn remainder(token: u64, needed: u16) -> GatherReply;
        /// Liveness check.
        async fn ping();
        /// States that no other host will gather the shards of a query.
        async fn commit(token: u64);
        /// As `changes_since`, for hosts of earlier versions, which do not state what they hold.
        async fn catalog_update(after: StoreRevision, wait_ms: u64) -> CatalogUpdate;
        /// Returns up to `count` tokens of a customer's quota.
        async fn take_tokens(customer: String, count: u32) -> TokenReply;
        /// Returns changes of the store's items after a revision; waits up to `wait_ms` for one.
        /// Values may be differences from those that the caller holds.
        async fn changes_since(
            after: StoreRevision,
            held: Vec<HeldValue>,
            wait_ms: u64,
        ) -> CatalogUpdate;
    }
}
use service::EdgePeer;
use service::EdgePeerClient;

/// The reason why a call to a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The call was not sent.
    NotSent,
    /// The call may have arrived, and no reply came.
    NoReply,
    /// The call may have arrived, but the peer does not answer a ping either. If it sent
    /// attempts before it failed, it sent at most one to each shard.
    Unresponsive,
}

/// Why a peer is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum SuspicionReason {
    /// No connection could be opened.
    NotConnected,
    /// A call failed, or its time limit passed.
    NoReply,
    /// A query was just sent, and the peer does not answer a ping.
    Silent,
    /// The reply to a query is overdue, and the peer does not answer a ping.
    Overdue,
    /// The store has not confirmed its items recently.
    Stale,
    /// An update of the store's items did not arrive.
    Late,
}

impl SuspicionReason {
    /// Whether only updates of the store's items are concerned. The peer may gather.
    fn is_of_updates(self) -> bool {
        matches!(self, Self::Stale | Self::Late)
    }
}

/// A peer's address, and the traffic counter for one purpose.
///
/// Each purpose has its own connection, so that a query does not wait behind a full snapshot of
/// the store.
#[derive(Clone, Debug)]
pub(crate) struct PeerEndpoint {
    pub(crate) address: SocketAddr,
    pub(crate) purpose: TrafficPurpose,
    pub(crate) counter: TrafficCounter,
}

/// An open connection; `ended` is cancelled when it closes.
#[derive(Clone, Debug)]
struct OpenLink {
    client: EdgePeerClient,
    /// Bytes that arrived on this connection.
    received: TrafficCounter,
    ended: CancellationToken,
}

/// Connections to other hosts, opened on first use and kept open.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<(SocketAddr, TrafficPurpose), OpenLink>>,
    /// When each suspected peer failed to answer.
    suspects: RefCell<HashMap<SocketAddr, Instant>>,
    /// When each peer failed as a source of updates.
    suspected_sources: RefCell<HashMap<SocketAddr, Instant>>,
    /// The time of each peer's last reply.
    last_answers: RefCell<HashMap<SocketAddr, Instant>>,
    /// The clock offset of each peer.
    clocks: RefCell<HashMap<SocketAddr, PeerClock>>,
}

impl PeerLinks {
    /// Whether the peer failed to answer a call during the last [`SUSPECT_DURATION`].
    pub(crate) fn is_suspect(&self, address: SocketAddr) -> bool {
        is_recent(&self.suspects, address)
    }

    /// Whether the peer failed to answer during the last [`SUSPECT_DURATION`], or had no recent
    /// update.
    pub(crate) fn is_suspect_source(&self, address: SocketAddr) -> bool {
        self.is_suspect(address) || is_recent(&self.suspected_sources, address)
    }

    /// The suspected peers that did not answer, how long ago that was, and how long ago they last
    /// answered.
    pub(crate) fn unanswered(&self) -> Vec<(SocketAddr, Duration, Option<Duration>)> {
        let suspects = self.suspects.borrow();
        let answers = self.last_answers.borrow();
        let answered_for = |address| answers.get(address).map(Instant::elapsed);
        let silent = suspects.iter().filter(|(_, at)| at.elapsed() < SUSPECT_DURATION);
        silent.map(|(address, at)| (*address, at.elapsed(), answered_for(address))).collect()
    }

    /// Marks the peer as suspected and closes the connections concerned.
    ///
    /// After a connection breaks without a reset, or the peer loses power, every further call on
    /// it would run into its time limit.
    pub(crate) fn suspect(&self, address: SocketAddr, reason: SuspicionReason) {
        let of_updates = reason.is_of_updates();
        let suspects = if of_updates { &self.suspected_sources } else { &self.suspects };
        if !is_recent(suspects, address) {
            let reason: &str = reason.into();
            edge_event!(
                Level::Info,
                EdgeEvent::PeerChanged,
                "peer={address} change=suspected reason={reason}"
            );
        }
        let mut suspects = suspects.borrow_mut();
        suspects.retain(|_, at| at.elapsed() < SUSPECT_DURATION);
        suspects.insert(address, Instant::now());
        let is_closed = |purpose| !of_updates || purpose == TrafficPurpose::Catalog;
        let mut links = self.links.borrow_mut();
        links.retain(|(peer, purpose), _| *peer != address || !is_closed(*purpose));
    }

    async fn client(&self, endpoint: &PeerEndpoint) -> Result<EdgePeerClient, PeerError> {
        Ok(self.link(endpoint).await?.client)
    }

    /// The open connection to a peer for a purpose; opened if there is none.
    async fn link(&self, endpoint: &PeerEndpoint) -> Result<OpenLink, PeerError> {
        let key = (endpoint.address, endpoint.purpose);
        // Without the check of `ended`, the first query to a peer restarted in a rolling update
        // would be lost on the old connection, whose end no call has noticed yet.
        if let Some(link) = self.links.borrow().get(&key)
            && !link.ended.is_cancelled()
        {
            return Ok(link.clone());
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address)).await;
        let Ok(Ok(stream)) = connected else { return Err(PeerError::NotSent) };
        hawthorn_pool::enable_dead_peer_detection(&stream).map_err(|_| PeerError::NotSent)?;
        let received = TrafficCounter::default();
        let stream = traffic::counted(stream, &endpoint.counter, &received);
        let transport = tarpc::serde_transport::new(
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream),
            Bincode::default(),
        );
        let new_client = EdgePeerClient::new(client::Config::default(), transport);
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        tokio::spawn(async move {
            // After any end, pending calls fail and the next call opens a new connection.
            let _ended = new_client.dispatch.await;
            drop(guard);
        });
        let link = OpenLink { client: new_client.client, received, ended };
        let mut links = self.links.borrow_mut();
        links.retain(|_, link| !link.ended.is_cancelled());
        links.insert(key, link.clone());
        Ok(link)
    }

    /// Sends a peer a request to gather shards; dropping the future cancels the call at the peer.
    /// Sets `connected` before the request is handed to the connection.
    pub(crate) async fn gather(
        &self,
        endpoint: &PeerEndpoint,
        request: GatherRequest,
        left: Duration,
        connected: &Cell<bool>,
    ) -> Result<GatherReply, PeerError> {
        let address = endpoint.address;
        let client = self.ready_client(endpoint).await?;
        connected.set(true);
        let sent = host_now();
        let reply = client.gather(call_with_timeout(left), request).await;
        let timed = self.check_reply(address, reply)?;
        let exchange = Exchange {
            sent,
            received: Duration::from_micros(timed.received_us),
            replied: Duration::from_micros(timed.replied_us),
            reply_received: host_now(),
        };
        let accepted = self.clocks.borrow_mut().entry(address).or_default().record(&exchange);
        if !accepted {
            edge_event!(
                Level::Warn,
                EdgeEvent::PeerMessageBroken,
                "from={address} error=\"impossible times: {exchange:?}\""
            );
        }
        Ok(timed.reply)
    }

    /// Requests from a peer more parts of a query that it is gathering.
    pub(crate) async fn remainder(
        &self,
        endpoint: &PeerEndpoint,
        remainder: Remainder,
        needed: usize,
        left: Duration,
    ) -> Result<GatherReply, PeerError> {
        let client = self.ready_client(endpoint).await?;
        let needed = u16::try_from(needed).unwrap_or(u16::MAX);
        let reply = client.remainder(call_with_timeout(left), remainder.token, needed).await;
        self.check_reply(endpoint.address, reply)
    }

    /// Converts `at` of this host's clock to the peer's clock, if the offset is known.
    pub(crate) fn to_peer_time(&self, address: SocketAddr, at: Duration) -> Option<Duration> {
        self.clocks.borrow().get(&address)?.to_peer_time(at)
    }

    /// Whether a peer answers a liveness check.
    pub(crate) async fn ping(&self, endpoint: &PeerEndpoint) -> bool {
        let Ok(client) = self.client(endpoint).await else { return false };
        let alive = client.ping(call_with_timeout(ANSWER_TIMEOUT)).await.is_ok();
        if alive {
            self.record_answer(endpoint.address);
        }
        alive
    }

    /// Tells a peer that no other host will gather the shards of its query. Without this message the
    /// peer makes no further attempts, so that a failure needs no handling.
    pub(crate) async fn commit(&self, endpoint: &PeerEndpoint, token: u64) {
        if let Ok(client) = self.client(endpoint).await {
            let _lost = client.commit(call_with_timeout(ANSWER_TIMEOUT), token).await;
        }
    }

    /// How much longer the peer counts as alive after its last reply; `None` if it does not.
    pub(crate) fn alive_for(&self, address: SocketAddr) -> Option<Duration> {
        let last_answers = self.last_answers.borrow();
        let left = LIVENESS_TTL.checked_sub(last_answers.get(&address)?.elapsed())?;
        (!left.is_zero()).then_some(left)
    }

    fn record_answer(&self, address: SocketAddr) {
        self.last_answers.borrow_mut().insert(address, Instant::now());
    }

    /// Requests from a peer the changes of the store's items after a revision; the peer waits up
    /// to `wait` for one. An update may take as long as its bytes arrive. The peer is not suspected
    /// if it connects and does not reply in time.
    pub(crate) async fn catalog_update(
        &self,
        endpoint: &PeerEndpoint,
        request: UpdateRequest,
    ) -> Result<CatalogUpdate, PeerError> {
        let UpdateRequest { after, held, wait } = request;
        let OpenLink { client, received, .. } = self.ready_link(endpoint).await?;
        let call = call_with_timeout(wait + MAX_TRANSFER);
        let reply = tokio::select! {
            biased;
            reply = client.changes_since(call, after, held, wait.as_millis() as u64) => reply,
            () = transfer_stalled(&received, wait) => return Err(PeerError::NoReply),
        };
        if reply.is_ok() {
            self.record_answer(endpoint.address);
        }
        reply.map_err(|_| PeerError::NoReply)
    }

    /// Requests tokens of a customer's quota from a peer that holds a share of it.
    pub(crate) async fn take_tokens(
        &self,
        endpoint: &PeerEndpoint,
        customer: &str,
        count: u32,
    ) -> Result<TokenReply, PeerError> {
        let client = self.ready_client(endpoint).await?;
        let call = call_with_timeout(ANSWER_TIMEOUT);
        let reply = client.take_tokens(call, customer.to_owned(), count).await;
        self.check_reply(endpoint.address, reply)
    }

    async fn ready_client(&self, endpoint: &PeerEndpoint) -> Result<EdgePeerClient, PeerError> {
        Ok(self.ready_link(endpoint).await?.client)
    }

    async fn ready_link(&self, endpoint: &PeerEndpoint) -> Result<OpenLink, PeerError> {
        let link = self.link(endpoint).await;
        link.inspect_err(|_| self.suspect(endpoint.address, SuspicionReason::NotConnected))
    }

    fn check_reply<T>(
        &self,
        address: SocketAddr,
        reply: Result<T, client::RpcError>,
    ) -> Result<T, PeerError> {
        if reply.is_ok() {
            self.record_answer(address);
        }
        reply.map_err(|_| {
            self.suspect(address, SuspicionReason::NoReply);
            PeerError::NoReply
        })
    }
}

/// Whether a peer is in the map, with a time within [`SUSPECT_DURATION`].
fn is_recent(suspects: &RefCell<HashMap<SocketAddr, Instant>>, address: SocketAddr) -> bool {
    suspects.borrow().get(&address).is_some_and(|at| at.elapsed() < SUSPECT_DURATION)
}

/// Returns if no byte arrives on the connection for [`ANSWER_TIMEOUT`] once the peer's `wait` is
/// over.
async fn transfer_stalled(received: &TrafficCounter, wait: Duration) {
    sleep(wait).await;
    loop {
        let before = received.load(Ordering::Relaxed);
        sleep(ANSWER_TIMEOUT).await;
        if received.load(Ordering::Relaxed) == before {
            return;
        }
    }
}

fn call_with_timeout(left: Duration) -> Context {
    let mut call = context::current();
    call.deadline = Instant::now() + left;
    call
}

/// A peer's request, with the channel for its reply.
#[derive(Debug)]
enum PeerRequest {
    Gather {
        request: Box<GatherRequest>,
        body: PeerBodyGuard,
        arrived: Duration,
        reply: oneshot::Sender<GatherReply>,
    },
    Commit(u64),
    Remainder {
        token: u64,
        request: RemainderRequest,
    },
    CatalogUpdate {
        request: UpdateRequest,
        received: Duration,
        reply: oneshot::Sender<CatalogUpdate>,
    },
    TakeTokens {
        customer: String,
        count: u32,
        reply: oneshot::Sender<TokenReply>,
    },
}

/// Bodies of peers' queries in memory. Each of many hosts may send its callers' bodies to this one.
#[derive(Clone, Debug)]
struct PeerBodies {
    held: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl PeerBodies {
    /// Counts a body; `None` if there is no room for it.
    fn reserve(&self, bytes: usize) -> Option<PeerBodyGuard> {
        let before = self.held.fetch_add(bytes, Ordering::Relaxed);
        let guard = PeerBodyGuard { held: Arc::clone(&self.held), bytes };
        let fits = bytes == 0 || before == 0 || before + bytes <= self.max_bytes;
        fits.then_some(guard)
    }
}

/// Counts the body of a peer's query until it is dropped.
#[derive(Debug)]
pub(crate) struct PeerBodyGuard {
    held: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for PeerBodyGuard {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[derive(Clone, Debug)]
struct PeerServer {
    requests: mpsc::Sender<PeerRequest>,
    bodies: PeerBodies,
}

impl PeerServer {
    async fn gather_shards(
        &self,
        request: GatherRequest,
        body: PeerBodyGuard,
        arrived: Duration,
    ) -> GatherReply {
        let (reply, answer) = oneshot::channel();
        let request = PeerRequest::Gather { request: Box::new(request), body, arrived, reply };
        let queued = self.requests.try_send(request).is_ok();
        let reply = if queued { answer.await.ok() } else { None };
        reply.unwrap_or(GatherReply::Stopping)
    }

    async fn update(
        &self,
        after: StoreRevision,
        held: Vec<HeldValue>,
        wait_ms: u64,
    ) -> CatalogUpdate {
        let received = host_now();
        let (reply, answer) = oneshot::channel();
        let request = UpdateRequest { after, held, wait: Duration::from_millis(wait_ms) };
        let request = PeerRequest::CatalogUpdate { request, received, reply };
        if self.requests.try_send(request).is_err() {
            return CatalogUpdate::default();
        }
        answer.await.unwrap_or_default()
    }
}

impl EdgePeer for PeerServer {
    async fn gather(self, _: Context, request: GatherRequest) -> TimedReply {
        let received = host_now();
        let received_us = received.as_micros() as u64;
        let arrived = received.saturating_sub(loop_clock::busy_for(received));
        let reply = match self.bodies.reserve(request.body.len()) {
            Some(body) => self.gather_shards(request, body, arrived).await,
            None => {
                let after = retry_after(RefusalReason::HostFull, None, &mut rand::rng());
                GatherReply::Overloaded { after_us: after.as_micros() as u64 }
            }
        };
        TimedReply { received_us, replied_us: host_now().as_micros() as u64, reply }
    }

    async fn remainder(self, _: Context, token: u64, needed: u16) -> GatherReply {
        let (reply, answer) = oneshot::channel();
        let request = RemainderRequest { needed: usize::from(needed), reply };
        if self.requests.try_send(PeerRequest::Remainder { token, request }).is_err() {
            return GatherReply::Stopping;
        }
        // The query is no longer held if the sender was dropped.
        answer.await.unwrap_or(GatherReply::Stopping)
    }

    async fn ping(self, _: Context) {}

    async fn commit(self, _: Context, token: u64) {
        // A rejected commit only prevents further attempts.
        let _rejected = self.requests.try_send(PeerRequest::Commit(token));
    }

    async fn catalog_update(self, _: Context, after: StoreRevision, wait_ms: u64) -> CatalogUpdate {
        self.update(after, Vec::new(), wait_ms).await
    }

    async fn changes_since(
        self,
        _: Context,
        after: StoreRevision,
        held: Vec<HeldValue>,
        wait_ms: u64,
    ) -> CatalogUpdate {
        self.update(after, held, wait_ms).await
    }

    async fn take_tokens(self, _: Context, customer: String, count: u32) -> TokenReply {
        let (reply, answer) = oneshot::channel();
        let request = PeerRequest::TakeTokens { customer, count, reply };
        if self.requests.try_send(request).is_err() {
            return TokenReply::default();
        }
        answer.await.unwrap_or_default()
    }
}

/// Serves other hosts until the process exits.
pub(crate) async fn serve(host: Rc<RouteHost>, listener: TcpListener) {
    let (requests, mut receiver) = mpsc::channel::<PeerRequest>(REQUEST_QUEUE_LEN);
    let max_bytes = host.routing.settings.host.max_peer_bodies();
    let server = PeerServer { requests, bodies: PeerBodies { held: Arc::default(), max_bytes } };
    let serve_requests = async {
        while let Some(request) = receiver.recv().await {
            dispatch(&host, request);
        }
    };
    tokio::join!(serve_requests, accept_peers(&host, &listener, &server));
}

async fn accept_peers(host: &RouteHost, listener: &TcpListener, server: &PeerServer) {
    let options = host.routing.settings.host.peer_connections();
    let table = ConnectionTable::new(options, evictions::logger("peers"));
    loop {
        let stream = listen::accept(listener).await;
        let slot = table.open().await;
        serve_connection(stream, slot, server.clone());
    }
}

fn dispatch(host: &Rc<RouteHost>, request: PeerRequest) {
    let host = Rc::clone(host);
    match request {
        PeerRequest::Gather { request, body, arrived, reply } => {
            // Before the query is begun: its commit may be next in the queue.
            let commit = host.commits.expect(request.commit_token);
            tokio::task::spawn_local(async move {
                delegate::serve_peer(host, *request, arrived, commit, reply).await;
                drop(body);
            });
        }
        PeerRequest::Commit(token) => host.commits.commit(token),
        PeerRequest::Remainder { token, request } => host.remainders.request(token, request),
        PeerRequest::CatalogUpdate { request, received, reply } => {
            tokio::task::spawn_local(peer_updates::answer_peer(host, request, received, reply));
        }
        PeerRequest::TakeTokens { customer, count, reply } => {
            // The peer may have given up; its tokens then expire.
            let _sent = reply.send(quota::grant(&host, &customer, count));
        }
    }
}

fn serve_connection(stream: TcpStream, slot: ConnectionSlot, server: PeerServer) {
    if let Err(error) = hawthorn_pool::enable_dead_peer_detection(&stream) {
        edge_event!(Level::Warn, EdgeEvent::DutyFailed, "duty=peer-socket error=\"{error}\"");
        return;
    }
    let evicted = slot.evicted().clone();
    let stream = InspectReader::new(stream, move |_| slot.touch());
    let transport = tarpc::serde_transport::new(
        LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream),
        Bincode::default(),
    );
    let calls =
        BaseChannel::with_defaults(transport).execute(server.serve()).for_each(|call| async move {
            tokio::spawn(call);
        });
    tokio::spawn(evicted.run_until_cancelled_owned(calls));
}
