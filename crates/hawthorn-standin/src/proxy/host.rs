//! Link in front of one host of the system: one address for TCP and UDP, with faults
//! selected by the source address of a peer.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::Error;
use super::faults::LinkControl;
use super::faults::LinkFaults;
use super::route::LinkRoute;
use super::tcp;
use super::udp;

/// Maximum number of retries when a free UDP port is in use for TCP.
const MAX_BIND_RETRIES: usize = 16;

/// A running link. Dropping its last clone stops it.
#[derive(Clone, Debug)]
pub struct HostLink {
    address: SocketAddr,
    upstream: watch::Sender<Option<SocketAddr>>,
    _stop: Arc<DropGuard>,
}

impl HostLink {
    /// Starts a link that applies faults by the source address of a client, and none to
    /// clients from other addresses.
    pub(super) async fn start(
        by_source: HashMap<IpAddr, LinkControl>,
        stop: &CancellationToken,
    ) -> Result<Self, Error> {
        let (socket, listener) = bind_both().await?;
        let address = listener.local_addr()?;
        let (sender, upstream) = watch::channel(None);
        let other = LinkControl::new(0, LinkFaults::default());
        let route = LinkRoute::by_source(upstream, by_source, other);
        let stop = stop.child_token();
        tokio::spawn(tcp::accept(listener, route.clone(), stop.clone()));
        tokio::spawn(udp::forward(Arc::new(socket), route, stop.clone()));
        Ok(Self { address, upstream: sender, _stop: Arc::new(stop.drop_guard()) })
    }

    /// The address that the host advertises.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the actual listen address of the host. No traffic passes before the first
    /// call. Known UDP clients keep the upstream of their first datagram.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.upstream.send_replace(Some(upstream));
    }
}

/// Binds the same free port for both protocols.
async fn bind_both() -> io::Result<(UdpSocket, TcpListener)> {
    let mut retries = 0;
    loop {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        match TcpListener::bind(socket.local_addr()?).await {
            Ok(listener) => return Ok((socket, listener)),
            Err(err) if retries == MAX_BIND_RETRIES => return Err(err),
            Err(_) => retries += 1,
        }
    }
}
