//! A TCP proxy in front of one address.

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

/// Bytes read at a time.
const CHUNK: usize = 16 << 10;
/// Chunks on their way in one direction: enough that a latency of tens of
/// milliseconds does not bound the throughput of a test.
const CHUNKS: usize = 64;

/// A running proxy; stops when dropped.
#[derive(Debug)]
pub struct TcpProxy {
    address: SocketAddr,
    control: LinkControl,
    _stop: DropGuard,
}

/// How the connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

impl TcpProxy {
    /// Starts a proxy in front of `upstream`. The same `seed` makes the same draws.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The test's handle on it.
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
        // Closed at once while nobody listens behind the link.
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
        let end = self.pass(&mut client, upstream).await;
        if end != ConnectionEnd::Closed {
            self.control.lock().resets += 1;
            // Without lingering, the close is sent as a reset.
            if let Err(err) = client.set_zero_linger() {
                log::debug!("a connection was gone before its reset: {err}");
            }
        }
    }

    async fn pass(&self, client: &mut TcpStream, upstream: SocketAddr) -> ConnectionEnd {
        let faults = self.control.faults();
        let mut resets = self.control.watch_resets();
        let mut rng = self.control.rng(self.number, LinkDirection::Forward);
        if rng.random_bool(faults.resets.clamp(0.0, 1.0)) {
            return ConnectionEnd::Reset;
        }
        if faults.black_hole {
            return tokio::select! {
                _ = resets.changed() => ConnectionEnd::Reset,
                () = swallow(client) => ConnectionEnd::Closed,
            };
        }
        // An upstream that refuses shows to the client as a reset.
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

    /// Connects once nothing cuts the way to the upstream.
    async fn connect(&self, upstream: SocketAddr) -> io::Result<TcpStream> {
        let mut faults = self.control.watch_faults();
        drop(faults.wait_for(|faults| !faults.cut_forward && !faults.cut_backward).await);
        TcpStream::connect(upstream).await
    }

    /// Hands bytes on, each after its delay, until the reader ends.
    async fn pump(
        &self,
        reader: impl AsyncRead + Unpin,
        writer: impl AsyncWrite + Unpin,
        direction: LinkDirection,
        rng: ChaCha8Rng,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNKS);
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
        let mut buffer = vec![0; CHUNK];
        let mut due = Instant::now();
        loop {
            let length = reader.read(&mut buffer).await?;
            // Never before the chunk ahead of it, whatever the jitter.
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
            let met = faults.wait_for(passes).await.map(|faults| *faults);
            let Ok(met) = met else { return Ok(()) };
            if met.black_hole {
                // Goes silent for good: bytes swallowed can't be brought back.
                return std::future::pending().await;
            }
            if chunk.is_empty() {
                return writer.shutdown().await;
            }
            if direction == LinkDirection::Backward && first && self.control.loses_answer() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            first = false;
            hand_on(&mut writer, &chunk, met).await?;
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

async fn hand_on(
    writer: &mut (impl AsyncWrite + Unpin),
    chunk: &[u8],
    faults: LinkFaults,
) -> io::Result<()> {
    let Some(drip) = faults.drip else { return writer.write_all(chunk).await };
    for lot in chunk.chunks(drip.bytes.max(1)) {
        timer::sleep(drip.every).await;
        writer.write_all(lot).await?;
    }
    Ok(())
}

/// Reads and drops until the client closes.
async fn swallow(client: &mut TcpStream) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(length) = client.read(&mut buffer).await {
        if length == 0 {
            return;
        }
    }
}
