//! Where a link leads, and which faults each client meets.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;

use tokio::sync::watch;

use super::faults::LinkControl;

/// The upstream of a link and the handles of its clients.
#[derive(Clone, Debug)]
pub(super) struct LinkRoute {
    upstream: watch::Receiver<Option<SocketAddr>>,
    by_source: HashMap<IpAddr, LinkControl>,
    other: LinkControl,
}

impl LinkRoute {
    /// One upstream, the same faults for every client.
    pub(super) fn single(upstream: SocketAddr, control: LinkControl) -> Self {
        let (_, upstream) = watch::channel(Some(upstream));
        Self { upstream, by_source: HashMap::new(), other: control }
    }

    /// Faults by the address that a client comes from; `other` for the rest.
    pub(super) fn by_source(
        upstream: watch::Receiver<Option<SocketAddr>>,
        by_source: HashMap<IpAddr, LinkControl>,
        other: LinkControl,
    ) -> Self {
        Self { upstream, by_source, other }
    }

    /// None until it is known.
    pub(super) fn upstream(&self) -> Option<SocketAddr> {
        *self.upstream.borrow()
    }

    pub(super) fn control(&self, client: SocketAddr) -> &LinkControl {
        self.by_source.get(&client.ip()).unwrap_or(&self.other)
    }
}
