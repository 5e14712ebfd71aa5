//! This host's side of calls between daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt;
use hawthorn_types::ConfigRevision;
use hawthorn_types::RefusalReason;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::connection::message::BatchAnswer;
use crate::connection::message::ConfigCopy;
use crate::connection::message::OnceBatch;
use crate::connection::message::OnceOutcome;
use crate::connection::message::OwnerView;
use crate::connection::message::PieceOutcome;
use crate::connection::message::SearchBatch;
use crate::connection::peer::MAX_FRAME_BYTES;
use crate::connection::peer::PeerService;
use crate::owner::OwnerHandle;
use crate::process::events::LogEvent;
use crate::process::fleet::FleetHandle;

/// How long after a connection could not be accepted the next is tried.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves other daemons. Cloned for each connection.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// The duty that holds targets.
    pub owner: OwnerHandle,
    /// The duty that holds the configuration.
    pub fleet: FleetHandle,
    /// Set near the end of a planned stop.
    pub closing: ClosingGate,
}

/// Closed near the end of a planned stop.
///
/// Failure: another host that has not heard of the stop hands over a request in
/// the last moment, and the process ends under it: a query waits for its
/// fallback, a non-idempotent request ends as unknown. Once closed, new work
/// is turned away at once, truthfully, and goes to the next owner.
#[derive(Clone, Debug, Default)]
pub struct ClosingGate {
    closed: Arc<AtomicBool>,
}

impl ClosingGate {
    /// Turns away everything from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}

impl PeerService for PeerServer {
    async fn search(self, _: Context, batch: SearchBatch) -> BatchAnswer {
        if self.closing.is_closed() {
            return turned_away(batch);
        }
        self.owner.search(batch).await
    }

    async fn run(self, _: Context, batch: OnceBatch) -> OnceOutcome {
        if self.closing.is_closed() {
            return OnceOutcome::NotRun(RefusalReason::NoTarget);
        }
        // In a task of its own: the call is dropped when its front goes away,
        // but a request that is claimed has to be seen to its end.
        let running = tokio::spawn(async move { self.owner.run(batch).await });
        let lost = OnceOutcome::Unknown(hawthorn_types::UnknownReason::OwnerLost);
        running.await.unwrap_or(lost)
    }

    async fn view(self, _: Context) -> OwnerView {
        (*self.owner.view()).clone()
    }

    async fn pull_config(self, _: Context, have: ConfigRevision) -> Option<ConfigCopy> {
        self.fleet.copy().filter(|copy| copy.revision > have)
    }

    async fn push_config(self, _: Context, copy: ConfigCopy) -> ConfigRevision {
        self.fleet.offer(copy).await
    }
}

fn turned_away(batch: SearchBatch) -> BatchAnswer {
    let parts = batch.pieces.iter().map(|piece| (piece.number, PieceOutcome::NotOwner));
    BatchAnswer { request: batch.request, parts: parts.collect(), queued_us: 0, view: None }
}

/// Serves calls until cancelled. The process first waits for calls in flight
/// (see the stop sequence), so that nothing is cut off.
///
/// # Errors
/// When the address cannot be bound.
pub async fn start(
    address: SocketAddr,
    server: PeerServer,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => serve(stream, server.clone(), &stop),
                Err(error) => {
                    let event = LogEvent::PeerMessageBad;
                    crate::log_event!(log::Level::Warn, event, "accepting a peer: {error}");
                    // Out of file handles, say: at once it would fail again.
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

fn serve(stream: TcpStream, server: PeerServer, stop: &CancellationToken) {
    // Failure: an answer of more than one segment waits for the other side's
    // delayed acknowledgement, 40 ms, which shows as a second hump of latencies.
    let _unset = stream.set_nodelay(true);
    let framed =
        LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let calls =
        BaseChannel::with_defaults(transport).execute(server.serve()).for_each(|call| async move {
            tokio::spawn(call);
        });
    let stop = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = calls => {}
        }
    });
}
