//! UDP proxy in front of one address, for heartbeats.
//!
//! Each client has its own socket towards the upstream, which sees that socket as the
//! sender and can answer through it.

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

/// Buffer size in bytes, larger than any datagram.
const MAX_DATAGRAM_BYTES: usize = 1 << 16;

/// A running proxy. Dropping it stops the proxy.
#[derive(Debug)]
pub struct UdpProxy {
    address: SocketAddr,
    control: LinkControl,
    _stop: DropGuard,
}

impl UdpProxy {
    /// Starts a proxy in front of `upstream`. The same `seed` gives the same random faults.
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

    /// The listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The control handle.
    pub fn control(&self) -> &LinkControl {
        &self.control
    }
}

/// Forwards datagrams that arrive at `socket` until `stop` is cancelled.
pub(super) async fn forward(socket: Arc<UdpSocket>, route: LinkRoute, stop: CancellationToken) {
    Forwarder { socket, route, stop }.run().await;
}

struct Forwarder {
    socket: Arc<UdpSocket>,
    route: LinkRoute,
    stop: CancellationToken,
}

/// One direction of the traffic of one client.
struct ForwardPath {
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
        let mut paths: HashMap<SocketAddr, ForwardPath> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram was not deliverable; later ones may be.
            let Ok((length, client)) = self.socket.recv_from(&mut buffer).await else { continue };
            if !paths.contains_key(&client) {
                // Datagrams are lost while the upstream is not set.
                let Some(upstream) = self.route.upstream() else { continue };
                let number = paths.len() as u64;
                let Ok(path) = self.open_path(client, upstream, number).await else { continue };
                paths.insert(client, path);
            }
            if let Some(path) = paths.get_mut(&client) {
                path.send(&buffer[..length]);
            }
        }
    }

    async fn open_path(
        &self,
        client: SocketAddr,
        to: SocketAddr,
        number: u64,
    ) -> Result<ForwardPath, Error> {
        let control = self.route.control(client);
        let upstream = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let backward = ForwardPath {
            control: control.clone(),
            direction: LinkDirection::Backward,
            rng: control.rng(number, LinkDirection::Backward),
            from: Arc::clone(&self.socket),
            to: client,
        };
        tokio::spawn(forward_answers(Arc::clone(&upstream), backward, self.stop.clone()));
        Ok(ForwardPath {
            control: control.clone(),
            direction: LinkDirection::Forward,
            rng: control.rng(number, LinkDirection::Forward),
            from: upstream,
            to,
        })
    }
}

async fn forward_answers(upstream: Arc<UdpSocket>, mut path: ForwardPath, stop: CancellationToken) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => return,
            received = upstream.recv_from(&mut buffer) => received,
        };
        if let Ok((length, _)) = received {
            path.send(&buffer[..length]);
        }
    }
}

impl ForwardPath {
    /// Forwards one datagram, unless a fault loses or duplicates it.
    fn send(&mut self, datagram: &[u8]) {
        let faults = self.control.faults();
        // The number of draws per datagram is constant, so that changing one fault does
        // not change how the others affect later datagrams.
        let lost = self.rng.random_bool(faults.loss.clamp(0.0, 1.0));
        let duplicated = self.rng.random_bool(faults.duplicates.clamp(0.0, 1.0));
        let delays = [faults.delay(&mut self.rng), faults.delay(&mut self.rng)];
        if lost || faults.black_hole || faults.is_cut(self.direction) {
            self.control.lock().datagrams_lost += 1;
            return;
        }
        self.control.lock().datagrams += 1;
        for delay in delays.into_iter().take(1 + usize::from(duplicated)) {
            let datagram = datagram.to_vec();
            let socket = Arc::clone(&self.from);
            let to = self.to;
            tokio::spawn(async move {
                timer::sleep(delay).await;
                if let Err(err) = socket.send_to(&datagram, to).await {
                    log::debug!("a datagram was not delivered: {err}");
                }
            });
        }
    }
}
