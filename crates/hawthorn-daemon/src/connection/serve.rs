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

/// Delay before the next accept after a failed one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Server side of the calls between daemons. Cloned for each connection.
#[derive(Clone, Debug)]
pub struct PeerServer {
    /// Handle to the owner worker.
    pub owner: OwnerHandle,
    /// Handle to the fleet worker.
    pub fleet: FleetHandle,
    /// Closed near the end of a planned stop.
    pub shutdown_gate: ShutdownGate,
}

/// Rejects new calls near the end of a planned stop.
///
/// A host that does not know about the stop yet may send a request just before the process ends. A
/// query would then wait for its fallback, and a non-idempotent request would end as unknown. Once
/// the gate is closed, new calls are rejected at once as not run and go to the next owner.
#[derive(Clone, Debug, Default)]
pub struct ShutdownGate {
    closed: Arc<AtomicBool>,
}

impl ShutdownGate {
    /// Rejects all calls from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}

impl PeerService for PeerServer {
    async fn search(self, _: Context, batch: SearchBatch) -> BatchAnswer {
        if self.shutdown_gate.is_closed() {
            return reject(batch);
        }
        self.owner.search(batch).await
    }

    async fn run(self, _: Context, batch: OnceBatch) -> OnceOutcome {
        if self.shutdown_gate.is_closed() {
            return OnceOutcome::NotRun(RefusalReason::NoTarget);
        }
        // Runs in a separate task: the call is dropped if its front disconnects, but a claimed
        // request must be tracked to its end.
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

fn reject(batch: SearchBatch) -> BatchAnswer {
    let parts = batch.pieces.iter().map(|piece| (piece.number, PieceOutcome::NotOwner));
    BatchAnswer { request: batch.request, parts: parts.collect(), queued_us: 0, view: None }
}

/// Serves calls until cancelled. The stop sequence of the process waits for calls in flight before
/// it cancels.
///
/// # Errors
/// If the address cannot be bound.
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
                    crate::log_event!(
                        log::Level::Warn,
                        event,
                        "cannot accept a connection: {error}"
                    );
                    // If file descriptors are exhausted, accepting again at once would fail again.
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    });
    Ok(())
}

fn serve(stream: TcpStream, server: PeerServer, stop: &CancellationToken) {
    // With Nagle's algorithm, an answer of more than one segment waits for the peer's delayed
    // acknowledgement (40 ms), which shows as a second peak in the latency distribution.
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
