//! The upstream of a link, and the faults of each client.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;

use tokio::sync::watch;

use super::faults::LinkControl;

/// The upstream of a link and the control handles of its clients.
#[derive(Clone, Debug)]
pub(super) struct LinkRoute {
    upstream: watch::Receiver<Option<SocketAddr>>,
    by_source: HashMap<IpAddr, LinkControl>,
    other: LinkControl,
}

impl LinkRoute {
    /// A fixed upstream with the same faults for all clients.
    pub(super) fn single(upstream: SocketAddr, control: LinkControl) -> Self {
        let (_, upstream) = watch::channel(Some(upstream));
        Self { upstream, by_source: HashMap::new(), other: control }
    }

    /// Faults by the source address of a client; `other` for all other clients.
    pub(super) fn by_source(
        upstream: watch::Receiver<Option<SocketAddr>>,
        by_source: HashMap<IpAddr, LinkControl>,
        other: LinkControl,
    ) -> Self {
        Self { upstream, by_source, other }
    }

    /// The upstream; `None` until it is set.
    pub(super) fn upstream(&self) -> Option<SocketAddr> {
        *self.upstream.borrow()
    }

    pub(super) fn control(&self, client: SocketAddr) -> &LinkControl {
        self.by_source.get(&client.ip()).unwrap_or(&self.other)
    }
}
