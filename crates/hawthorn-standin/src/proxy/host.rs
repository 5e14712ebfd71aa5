//! The link in front of one host of the system: one address for TCP and UDP,
//! with faults chosen by the address that a peer comes from.

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

/// Ports drawn for UDP that TCP may find taken, before giving up.
const PORT_TRIES: usize = 16;

/// A running link; stops when its last clone is dropped.
#[derive(Clone, Debug)]
pub struct HostLink {
    address: SocketAddr,
    upstream: watch::Sender<Option<SocketAddr>>,
    _stop: Arc<DropGuard>,
}

impl HostLink {
    /// Starts a link whose clients meet the faults of the address they come
    /// from; clients from elsewhere meet none.
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

    /// What the host tells others as its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where the host really listens. Until then nothing passes. UDP clients
    /// that were heard before keep the upstream of that time.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.upstream.send_replace(Some(upstream));
    }
}

/// One free port for both protocols.
async fn bind_both() -> io::Result<(UdpSocket, TcpListener)> {
    let mut tries = 0;
    loop {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        match TcpListener::bind(socket.local_addr()?).await {
            Ok(listener) => return Ok((socket, listener)),
            Err(err) if tries == PORT_TRIES => return Err(err),
            Err(_) => tries += 1,
        }
    }
}
