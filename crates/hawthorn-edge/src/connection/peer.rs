//! Calls between hosts that route requests, by tarpc over TCP.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use hawthorn_route::clock_offset::Exchange;
use hawthorn_route::clock_offset::PeerClock;
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
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::connection::listen;
use crate::connection::message::CatalogNews;
use crate::connection::message::GatherOrder;
use crate::connection::message::GatherReply;
use crate::connection::message::Remainder;
use crate::connection::message::TimedReply;
use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::feed;
use crate::process::host::RouteHost;
use crate::process::traffic;
use crate::process::traffic::TrafficCounter;
use crate::process::traffic::TrafficPurpose;
use crate::request::delegate;
use crate::request::remainder::RemainderOrder;

/// A message between hosts is at most so large.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Opening a connection takes at most so long: a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// A peer that did not answer is passed over for so long; by then membership
/// knows whether it lives.
const SUSPECT_TIME: Duration = Duration::from_millis(1500);
/// A peer answers a question about the store within so long, beyond its wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// A peer that answered so long ago is there: a pause between two of a busy
/// peer's replies, so that only a quiet one is asked.
const HEARD_LIFE: Duration = Duration::from_millis(100);
/// Orders of peers that wait for the serving thread; more are refused.
const ORDER_RING: usize = 1024;

#[allow(missing_docs)]
mod service {
    use super::CatalogNews;
    use super::GatherOrder;
    use super::GatherReply;
    use super::TimedReply;

    /// What each host offers the others.
    #[tarpc::service]
    pub trait EdgePeer {
        /// Gathers some shards of a query.
        async fn gather(order: GatherOrder) -> TimedReply;
        /// More parts of a query, once so many are in or no more can come.
        async fn remainder(token: u64, needed: u16) -> GatherReply;
        /// Says that it is there.
        async fn hello();
        /// What is known of the store after a revision; waits for it that many milliseconds.
        async fn news(after: u64, wait_ms: u64) -> CatalogNews;
    }
}
use service::EdgePeer;
use service::EdgePeerClient;

/// Why a call brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The peer saw nothing of it.
    NotSent,
    /// It may have, and no answer came.
    Lost,
    /// It may have, but it does not even say that it is there: had it sent
    /// anything, it will have sent little.
    Silent,
}

/// Where a peer listens, and the counter of what it is sent for one purpose.
///
/// Each purpose has a connection of its own, so that a query does not wait behind a
/// whole reading of the store.
#[derive(Clone, Debug)]
pub(crate) struct PeerRoute {
    pub(crate) address: SocketAddr,
    pub(crate) purpose: TrafficPurpose,
    pub(crate) counter: TrafficCounter,
}

/// An open connection, cancelled when it ends.
#[derive(Clone, Debug)]
struct OpenLink {
    client: EdgePeerClient,
    ended: CancellationToken,
}

/// Connections to other hosts, opened when first needed and kept.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<(SocketAddr, TrafficPurpose), OpenLink>>,
    /// Since when each is passed over.
    suspects: RefCell<HashMap<SocketAddr, Instant>>,
    /// When each peer last answered.
    heard: RefCell<HashMap<SocketAddr, Instant>>,
    /// How the clock of each stands to this host's.
    clocks: RefCell<HashMap<SocketAddr, PeerClock>>,
}

impl PeerLinks {
    /// The peer did not answer a moment ago.
    pub(crate) fn is_suspect(&self, address: SocketAddr) -> bool {
        let suspects = self.suspects.borrow();
        suspects.get(&address).is_some_and(|at| at.elapsed() < SUSPECT_TIME)
    }

    /// Passes the peer over for a while, and opens a new connection after that.
    ///
    /// Failure: a connection goes silent without a reset, or its peer lost
    /// power: every call on it waits out its time.
    pub(crate) fn suspect(&self, address: SocketAddr) {
        let mut suspects = self.suspects.borrow_mut();
        suspects.retain(|_, at| at.elapsed() < SUSPECT_TIME);
        suspects.insert(address, Instant::now());
        self.links.borrow_mut().retain(|(peer, _), _| *peer != address);
    }

    async fn client(&self, route: &PeerRoute) -> Result<EdgePeerClient, PeerError> {
        let key = (route.address, route.purpose);
        // Failure: a peer was stopped and started again by plan, and the first
        // query for it would be lost on the old connection, its end unread.
        if let Some(link) = self.links.borrow().get(&key)
            && !link.ended.is_cancelled()
        {
            return Ok(link.client.clone());
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(route.address)).await;
        let Ok(Ok(stream)) = connected else { return Err(PeerError::NotSent) };
        hawthorn_pool::end_when_silent(&stream).map_err(|_| PeerError::NotSent)?;
        let stream = traffic::counted(stream, &route.counter);
        let transport = tarpc::serde_transport::new(
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream),
            Bincode::default(),
        );
        let made = EdgePeerClient::new(client::Config::default(), transport);
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        tokio::spawn(async move {
            // Whatever ended it, calls on it fail and the next opens another.
            let _ended = made.dispatch.await;
            drop(guard);
        });
        let client = made.client;
        let mut links = self.links.borrow_mut();
        links.retain(|_, link| !link.ended.is_cancelled());
        links.insert(key, OpenLink { client: client.clone(), ended });
        Ok(client)
    }

    /// Has a peer gather shards; dropping the future cancels it there.
    pub(crate) async fn gather(
        &self,
        route: &PeerRoute,
        order: GatherOrder,
        left: Duration,
    ) -> Result<GatherReply, PeerError> {
        let address = route.address;
        let client = self.ready_client(route).await?;
        let sent = host_now();
        let reply = client.gather(call_within(left), order).await;
        let timed = self.judge(address, reply)?;
        let exchange = Exchange {
            sent,
            received: Duration::from_micros(timed.received_us),
            replied: Duration::from_micros(timed.replied_us),
            reply_received: host_now(),
        };
        let learnt = self.clocks.borrow_mut().entry(address).or_default().learn(&exchange);
        if !learnt {
            edge_event!(
                Level::Warn,
                EdgeEvent::PeerMessageBroken,
                "from={address} error=\"times that cannot be: {exchange:?}\""
            );
        }
        Ok(timed.reply)
    }

    /// Asks a peer for more parts of a query that it gathers.
    pub(crate) async fn remainder(
        &self,
        route: &PeerRoute,
        remainder: Remainder,
        needed: usize,
        left: Duration,
    ) -> Result<GatherReply, PeerError> {
        let client = self.ready_client(route).await?;
        let needed = u16::try_from(needed).unwrap_or(u16::MAX);
        let reply = client.remainder(call_within(left), remainder.token, needed).await;
        self.judge(route.address, reply)
    }

    /// What a peer's clock shows at `at` of this host's, if it is known.
    pub(crate) fn theirs(&self, address: SocketAddr, at: Duration) -> Option<Duration> {
        self.clocks.borrow().get(&address)?.to_peer_time(at)
    }

    /// Whether a peer says that it is there.
    pub(crate) async fn hello(&self, route: &PeerRoute) -> bool {
        let Ok(client) = self.client(route).await else { return false };
        let there = client.hello(call_within(ANSWER_TIMEOUT)).await.is_ok();
        if there {
            self.hear(route.address);
        }
        there
    }

    /// The peer answered something a moment ago.
    pub(crate) fn heard_lately(&self, address: SocketAddr) -> bool {
        let heard = self.heard.borrow();
        heard.get(&address).is_some_and(|at| at.elapsed() < HEARD_LIFE)
    }

    fn hear(&self, address: SocketAddr) {
        self.heard.borrow_mut().insert(address, Instant::now());
    }

    /// Asks a peer what it knows of the store after a revision, waiting there for news.
    pub(crate) async fn news(
        &self,
        route: &PeerRoute,
        after: u64,
        wait: Duration,
    ) -> Result<CatalogNews, PeerError> {
        let client = self.ready_client(route).await?;
        let call = call_within(wait + ANSWER_TIMEOUT);
        let reply = client.news(call, after, wait.as_millis() as u64).await;
        self.judge(route.address, reply)
    }

    async fn ready_client(&self, route: &PeerRoute) -> Result<EdgePeerClient, PeerError> {
        let client = self.client(route).await;
        client.inspect_err(|_| self.suspect(route.address))
    }

    fn judge<T>(
        &self,
        address: SocketAddr,
        reply: Result<T, client::RpcError>,
    ) -> Result<T, PeerError> {
        if reply.is_ok() {
            self.hear(address);
        }
        reply.map_err(|_| {
            self.suspect(address);
            PeerError::Lost
        })
    }
}

fn call_within(left: Duration) -> Context {
    let mut call = context::current();
    call.deadline = Instant::now() + left;
    call
}

/// What a peer asks for, and where the reply goes.
#[derive(Debug)]
enum PeerOrder {
    Gather(Box<GatherOrder>, oneshot::Sender<GatherReply>),
    Remainder { token: u64, order: RemainderOrder },
    News { after: u64, wait: Duration, reply: oneshot::Sender<CatalogNews> },
}

#[derive(Clone, Debug)]
struct PeerServer {
    orders: mpsc::Sender<PeerOrder>,
}

impl EdgePeer for PeerServer {
    async fn gather(self, _: Context, order: GatherOrder) -> TimedReply {
        let received_us = host_now().as_micros() as u64;
        let (reply, answer) = oneshot::channel();
        let taken = self.orders.try_send(PeerOrder::Gather(Box::new(order), reply)).is_ok();
        let reply = if taken { answer.await.ok() } else { None };
        let reply = reply.unwrap_or(GatherReply::Stopping);
        TimedReply { received_us, replied_us: host_now().as_micros() as u64, reply }
    }

    async fn remainder(self, _: Context, token: u64, needed: u16) -> GatherReply {
        let (reply, answer) = oneshot::channel();
        let order = RemainderOrder { needed: usize::from(needed), reply };
        if self.orders.try_send(PeerOrder::Remainder { token, order }).is_err() {
            return GatherReply::Stopping;
        }
        // The query is not held any more where nobody answers.
        answer.await.unwrap_or(GatherReply::Stopping)
    }

    async fn hello(self, _: Context) {}

    async fn news(self, _: Context, after: u64, wait_ms: u64) -> CatalogNews {
        let (reply, answer) = oneshot::channel();
        let wait = Duration::from_millis(wait_ms);
        if self.orders.try_send(PeerOrder::News { after, wait, reply }).is_err() {
            return CatalogNews::default();
        }
        answer.await.unwrap_or_default()
    }
}

/// Serves other hosts for as long as the process lives.
pub(crate) async fn serve(host: Rc<RouteHost>, listener: TcpListener) {
    let (orders, mut waiting) = mpsc::channel::<PeerOrder>(ORDER_RING);
    let server = PeerServer { orders };
    loop {
        tokio::select! {
            Some(order) = waiting.recv() => carry_out(&host, order),
            stream = listen::accept(&listener) => hold(stream, server.clone()),
        }
    }
}

fn carry_out(host: &Rc<RouteHost>, order: PeerOrder) {
    let host = Rc::clone(host);
    match order {
        PeerOrder::Gather(order, reply) => {
            tokio::task::spawn_local(delegate::carry_out(host, *order, reply));
        }
        PeerOrder::Remainder { token, order } => host.remainders.ask(token, order),
        PeerOrder::News { after, wait, reply } => {
            tokio::task::spawn_local(feed::tell(host, after, wait, reply));
        }
    }
}

fn hold(stream: TcpStream, server: PeerServer) {
    if let Err(error) = hawthorn_pool::end_when_silent(&stream) {
        edge_event!(Level::Warn, EdgeEvent::DutyFailed, "duty=peer-socket error=\"{error}\"");
        return;
    }
    let transport = tarpc::serde_transport::new(
        LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream),
        Bincode::default(),
    );
    let calls =
        BaseChannel::with_defaults(transport).execute(server.serve()).for_each(|call| async move {
            tokio::spawn(call);
        });
    tokio::spawn(calls);
}
