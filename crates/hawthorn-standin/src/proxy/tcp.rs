//! TCP proxy in front of one address.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::Error;
use super::faults::LinkControl;
use super::faults::LinkDirection;
use super::faults::LinkFaults;
use super::route::LinkRoute;
use crate::timer;
use crate::wire;

/// Maximum size of a read in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks in flight per direction. Large enough that a latency of
/// tens of milliseconds does not limit the throughput of a test.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

/// A running proxy. Dropping it stops the proxy.
#[derive(Debug)]
pub struct TcpProxy {
    address: SocketAddr,
    control: LinkControl,
    _stop: DropGuard,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

impl TcpProxy {
    /// Starts a proxy in front of `upstream`. The same `seed` gives the same random faults.
    pub async fn start(
        upstream: SocketAddr,
        seed: u64,
        faults: LinkFaults,
        stop: &CancellationToken,
    ) -> Result<Self, Error> {
        let (listener, address) = wire::bind().await?;
        let control = LinkControl::new(seed, faults);
        let stop = stop.child_token();
        let route = LinkRoute::single(upstream, control.clone());
        tokio::spawn(accept(listener, route, stop.clone()));
        Ok(Self { address, control, _stop: stop.drop_guard() })
    }

    /// The listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The control handle.
    pub fn control(&self) -> &LinkControl {
        &self.control
    }
}

pub(super) async fn accept(listener: TcpListener, route: LinkRoute, stop: CancellationToken) {
    let mut number = 0;
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((client, address)) = accepted else { continue };
        // The connection is closed immediately while the upstream is not set.
        let Some(upstream) = route.upstream() else { continue };
        let control = route.control(address);
        control.lock().connections += 1;
        let link = Connection { control: control.clone(), number };
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = link.run(client, upstream) => {}
            }
        });
        number += 1;
    }
}

struct Connection {
    control: LinkControl,
    number: u64,
}

impl Connection {
    async fn run(self, mut client: TcpStream, upstream: SocketAddr) {
        let end = self.forward(&mut client, upstream).await;
        if end != ConnectionEnd::Closed {
            self.control.lock().resets += 1;
            // With a linger time of zero, closing sends a reset.
            if let Err(err) = client.set_zero_linger() {
                log::debug!("a connection had ended before its reset: {err}");
            }
        }
    }

    async fn forward(&self, client: &mut TcpStream, upstream: SocketAddr) -> ConnectionEnd {
        let faults = self.control.faults();
        let mut resets = self.control.watch_resets();
        let mut rng = self.control.rng(self.number, LinkDirection::Forward);
        if rng.random_bool(faults.resets.clamp(0.0, 1.0)) {
            return ConnectionEnd::Reset;
        }
        if faults.black_hole {
            return tokio::select! {
                _ = resets.changed() => ConnectionEnd::Reset,
                () = discard_all(client) => ConnectionEnd::Closed,
            };
        }
        // The client sees a refusal by the upstream as a reset.
        let Ok(mut upstream) = self.connect(upstream).await else { return ConnectionEnd::Reset };
        if client.set_nodelay(true).and(upstream.set_nodelay(true)).is_err() {
            return ConnectionEnd::Reset;
        }
        let (client_reader, client_writer) = client.split();
        let (upstream_reader, upstream_writer) = upstream.split();
        let forward = self.pump(client_reader, upstream_writer, LinkDirection::Forward, rng);
        let rng = self.control.rng(self.number, LinkDirection::Backward);
        let backward = self.pump(upstream_reader, client_writer, LinkDirection::Backward, rng);
        tokio::select! {
            _ = resets.changed() => ConnectionEnd::Reset,
            ends = async { tokio::try_join!(forward, backward) } => match ends {
                Ok(_) => ConnectionEnd::Closed,
                Err(_) => ConnectionEnd::Reset,
            },
        }
    }

    /// Connects to the upstream once no direction is blocked.
    async fn connect(&self, upstream: SocketAddr) -> io::Result<TcpStream> {
        let mut faults = self.control.watch_faults();
        drop(faults.wait_for(|faults| !faults.cut_forward && !faults.cut_backward).await);
        TcpStream::connect(upstream).await
    }

    /// Forwards bytes, each chunk after its delay, until the end of the reader.
    async fn pump(
        &self,
        reader: impl AsyncRead + Unpin,
        writer: impl AsyncWrite + Unpin,
        direction: LinkDirection,
        rng: ChaCha8Rng,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
        let read = self.read(reader, sender, rng);
        let write = self.write(writer, receiver, direction);
        tokio::try_join!(read, write)?;
        Ok(())
    }

    async fn read(
        &self,
        mut reader: impl AsyncRead + Unpin,
        sender: mpsc::Sender<(Instant, Bytes)>,
        mut rng: ChaCha8Rng,
    ) -> io::Result<()> {
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut due = Instant::now();
        loop {
            let length = reader.read(&mut buffer).await?;
            // Jitter must not reorder chunks.
            due = due.max(Instant::now() + self.control.faults().delay(&mut rng));
            let chunk = Bytes::copy_from_slice(&buffer[..length]);
            if sender.send((due, chunk)).await.is_err() || length == 0 {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        mut writer: impl AsyncWrite + Unpin,
        mut receiver: mpsc::Receiver<(Instant, Bytes)>,
        direction: LinkDirection,
    ) -> io::Result<()> {
        let mut faults = self.control.watch_faults();
        let mut first = true;
        while let Some((due, chunk)) = receiver.recv().await {
            timer::sleep_until(due).await;
            let passes = |faults: &LinkFaults| faults.black_hole || !faults.is_cut(direction);
            let current = faults.wait_for(passes).await.map(|faults| *faults);
            let Ok(current) = current else { return Ok(()) };
            if current.black_hole {
                // Stays silent for good, as discarded bytes cannot be recovered.
                return std::future::pending().await;
            }
            if chunk.is_empty() {
                return writer.shutdown().await;
            }
            if direction == LinkDirection::Backward && first && self.control.take_lost_answer() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            first = false;
            write_chunk(&mut writer, &chunk, current).await?;
            self.count(direction, chunk.len());
        }
        Ok(())
    }

    fn count(&self, direction: LinkDirection, length: usize) {
        let mut counters = self.control.lock();
        match direction {
            LinkDirection::Forward => counters.bytes_forward += length as u64,
            LinkDirection::Backward => counters.bytes_backward += length as u64,
        }
    }
}

async fn write_chunk(
    writer: &mut (impl AsyncWrite + Unpin),
    chunk: &[u8],
    faults: LinkFaults,
) -> io::Result<()> {
    let Some(throttle) = faults.throttle else { return writer.write_all(chunk).await };
    for part in chunk.chunks(throttle.chunk_bytes.max(1)) {
        timer::sleep(throttle.delay).await;
        writer.write_all(part).await?;
    }
    Ok(())
}

/// Discards everything that the client sends until it closes the connection.
async fn discard_all(client: &mut TcpStream) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(length) = client.read(&mut buffer).await {
        if length == 0 {
            return;
        }
    }
}
