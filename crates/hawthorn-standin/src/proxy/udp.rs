//! A UDP forwarder in front of one address, for heartbeats.
//!
//! Each client gets a socket of its own towards the upstream, which sees that
//! socket as the sender and can answer through it.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::Error;
use super::faults::LinkControl;
use super::faults::LinkDirection;
use super::faults::LinkFaults;
use super::route::LinkRoute;
use crate::timer;

/// Larger than any datagram.
const DATAGRAM: usize = 1 << 16;

/// A running forwarder; stops when dropped.
#[derive(Debug)]
pub struct UdpProxy {
    address: SocketAddr,
    control: LinkControl,
    _stop: DropGuard,
}

impl UdpProxy {
    /// Starts a forwarder in front of `upstream`. The same `seed` makes the same draws.
    pub async fn start(
        upstream: SocketAddr,
        seed: u64,
        faults: LinkFaults,
        stop: &CancellationToken,
    ) -> Result<Self, Error> {
        let socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let address = socket.local_addr()?;
        let control = LinkControl::new(seed, faults);
        let stop = stop.child_token();
        let route = LinkRoute::single(upstream, control.clone());
        tokio::spawn(forward(socket, route, stop.clone()));
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

/// Forwards what arrives at `socket` until `stop` is cancelled.
pub(super) async fn forward(socket: Arc<UdpSocket>, route: LinkRoute, stop: CancellationToken) {
    Forwarder { socket, route, stop }.run().await;
}

struct Forwarder {
    socket: Arc<UdpSocket>,
    route: LinkRoute,
    stop: CancellationToken,
}

/// One direction of one client's way.
struct ForwardedWay {
    control: LinkControl,
    direction: LinkDirection,
    rng: ChaCha8Rng,
    from: Arc<UdpSocket>,
    to: SocketAddr,
}

impl Forwarder {
    async fn run(self) {
        let stop = self.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.forward() => {}
        }
    }

    async fn forward(&self) {
        let mut ways: HashMap<SocketAddr, ForwardedWay> = HashMap::new();
        let mut buffer = vec![0; DATAGRAM];
        loop {
            // An error here is an earlier datagram that found nobody: UDP goes on.
            let Ok((length, client)) = self.socket.recv_from(&mut buffer).await else { continue };
            if !ways.contains_key(&client) {
                // Lost while nobody listens behind the link.
                let Some(upstream) = self.route.upstream() else { continue };
                let number = ways.len() as u64;
                let Ok(way) = self.open(client, upstream, number).await else { continue };
                ways.insert(client, way);
            }
            if let Some(way) = ways.get_mut(&client) {
                way.pass(&buffer[..length]);
            }
        }
    }

    async fn open(
        &self,
        client: SocketAddr,
        to: SocketAddr,
        number: u64,
    ) -> Result<ForwardedWay, Error> {
        let control = self.route.control(client);
        let upstream = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let backward = ForwardedWay {
            control: control.clone(),
            direction: LinkDirection::Backward,
            rng: control.rng(number, LinkDirection::Backward),
            from: Arc::clone(&self.socket),
            to: client,
        };
        tokio::spawn(answers(Arc::clone(&upstream), backward, self.stop.clone()));
        Ok(ForwardedWay {
            control: control.clone(),
            direction: LinkDirection::Forward,
            rng: control.rng(number, LinkDirection::Forward),
            from: upstream,
            to,
        })
    }
}

async fn answers(upstream: Arc<UdpSocket>, mut way: ForwardedWay, stop: CancellationToken) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => return,
            received = upstream.recv_from(&mut buffer) => received,
        };
        if let Ok((length, _)) = received {
            way.pass(&buffer[..length]);
        }
    }
}

impl ForwardedWay {
    /// Sends one datagram on, or loses it, or sends it twice.
    fn pass(&mut self, datagram: &[u8]) {
        let faults = self.control.faults();
        // All draws are made for each datagram, so that a change of one fault
        // leaves the fate of later datagrams under the others as it was.
        let lost = self.rng.random_bool(faults.loss.clamp(0.0, 1.0));
        let twice = self.rng.random_bool(faults.duplicates.clamp(0.0, 1.0));
        let delays = [faults.delay(&mut self.rng), faults.delay(&mut self.rng)];
        if lost || faults.black_hole || faults.is_cut(self.direction) {
            self.control.lock().datagrams_lost += 1;
            return;
        }
        self.control.lock().datagrams += 1;
        for delay in delays.into_iter().take(1 + usize::from(twice)) {
            let datagram = datagram.to_vec();
            let socket = Arc::clone(&self.from);
            let to = self.to;
            tokio::spawn(async move {
                timer::sleep(delay).await;
                if let Err(err) = socket.send_to(&datagram, to).await {
                    log::debug!("a datagram found nobody: {err}");
                }
            });
        }
    }
}
