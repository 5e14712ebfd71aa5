//! Calls between hosts that route requests, by tarpc over TCP.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
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

use crate::connection::listen;
use crate::connection::message::GatherOrder;
use crate::connection::message::GatherReply;
use crate::edge_event;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::request::delegate;

/// A message between hosts is at most so large.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Opening a connection takes at most so long: a few round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// A peer that did not answer is passed over for so long; by then membership
/// knows whether it lives.
const SUSPECT_TIME: Duration = Duration::from_millis(1500);
/// Orders of peers that wait for the serving thread; more are refused.
const ORDER_RING: usize = 1024;

#[allow(missing_docs)]
mod service {
    use super::GatherOrder;
    use super::GatherReply;

    /// What each host offers the others.
    #[tarpc::service]
    pub trait EdgePeer {
        /// Gathers some shards of a query.
        async fn gather(order: GatherOrder) -> GatherReply;
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
}

#[derive(Clone, Debug)]
enum PeerLink {
    Open(EdgePeerClient),
    Suspect(Instant),
}

/// Connections to other hosts, opened when first needed and kept.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<SocketAddr, PeerLink>>,
}

impl PeerLinks {
    /// The peer did not answer a moment ago.
    pub(crate) fn is_suspect(&self, address: SocketAddr) -> bool {
        let links = self.links.borrow();
        matches!(links.get(&address), Some(PeerLink::Suspect(at)) if at.elapsed() < SUSPECT_TIME)
    }

    /// Passes the peer over for a while, and opens a new connection after that.
    ///
    /// Failure: a connection goes silent without a reset, or its peer lost
    /// power: every call on it waits out its time.
    pub(crate) fn suspect(&self, address: SocketAddr) {
        self.links.borrow_mut().insert(address, PeerLink::Suspect(Instant::now()));
    }

    async fn client(&self, address: SocketAddr) -> Result<EdgePeerClient, PeerError> {
        if let Some(PeerLink::Open(client)) = self.links.borrow().get(&address) {
            return Ok(client.clone());
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else { return Err(PeerError::NotSent) };
        hawthorn_pool::end_when_silent(&stream).map_err(|_| PeerError::NotSent)?;
        let transport = tarpc::serde_transport::new(
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream),
            Bincode::default(),
        );
        let client = EdgePeerClient::new(client::Config::default(), transport).spawn();
        self.links.borrow_mut().insert(address, PeerLink::Open(client.clone()));
        Ok(client)
    }

    /// Has a peer gather shards; dropping the future cancels it there.
    pub(crate) async fn gather(
        &self,
        address: SocketAddr,
        order: GatherOrder,
        left: Duration,
    ) -> Result<GatherReply, PeerError> {
        let client = match self.client(address).await {
            Ok(client) => client,
            Err(error) => {
                self.suspect(address);
                return Err(error);
            }
        };
        let mut call = context::current();
        call.deadline = Instant::now() + left;
        client.gather(call, order).await.map_err(|_| {
            self.suspect(address);
            PeerError::Lost
        })
    }
}

/// An order of a peer, and where its reply goes.
pub(crate) type PeerOrder = (GatherOrder, oneshot::Sender<GatherReply>);

#[derive(Clone, Debug)]
struct PeerServer {
    orders: mpsc::Sender<PeerOrder>,
}

impl EdgePeer for PeerServer {
    async fn gather(self, _: Context, order: GatherOrder) -> GatherReply {
        let (reply, answer) = oneshot::channel();
        if self.orders.try_send((order, reply)).is_err() {
            return GatherReply::Stopping;
        }
        answer.await.unwrap_or(GatherReply::Stopping)
    }
}

/// Serves other hosts for as long as the process lives.
pub(crate) async fn serve(host: Rc<RouteHost>, listener: TcpListener) {
    let (orders, mut waiting) = mpsc::channel::<PeerOrder>(ORDER_RING);
    let server = PeerServer { orders };
    loop {
        tokio::select! {
            Some((order, reply)) = waiting.recv() => {
                tokio::task::spawn_local(delegate::carry_out(Rc::clone(&host), order, reply));
            }
            stream = listen::accept(&listener) => hold(stream, server.clone()),
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
