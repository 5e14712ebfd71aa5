//! All links of a test by the locations that they connect, with default latencies and
//! network partitions.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Error;
use super::faults::LinkControl;
use super::faults::LinkFaults;
use super::host::HostLink;
use super::tcp::TcpProxy;
use super::udp::UdpProxy;

/// Location of one end of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NetworkLocation {
    /// An availability zone, with its hosts and targets.
    Zone(String),
    /// Callers.
    Clients,
    /// The platform's service.
    Platform,
}

impl NetworkLocation {
    /// The availability zone of that name.
    pub fn zone(name: &str) -> Self {
        Self::Zone(name.to_owned())
    }
}

/// One-way latencies, and the seed of all links.
#[derive(Clone, Debug)]
pub struct NetworkOptions {
    /// Between availability zones.
    pub between_zones: Duration,
    /// Between clients and any zone.
    pub to_clients: Duration,
    /// Between any zone and the platform.
    pub to_platform: Duration,
    /// Seed of all links; the same seed gives the same faults on the link of the same
    /// number.
    pub seed: u64,
    /// Stops all links when cancelled.
    pub stop: CancellationToken,
}

impl NetworkOptions {
    /// Latencies of Dar Port.
    pub fn dar_port() -> Self {
        Self {
            between_zones: Duration::from_micros(1_500),
            to_clients: Duration::from_millis(1),
            to_platform: Duration::from_millis(1),
            seed: 1,
            stop: CancellationToken::new(),
        }
    }

    /// Latencies of Poland.
    pub fn poland() -> Self {
        Self { between_zones: Duration::from_micros(500), ..Self::dar_port() }
    }
}

impl Default for NetworkOptions {
    fn default() -> Self {
        Self::dar_port()
    }
}

/// The links of one test. Dropping it stops them.
#[derive(Debug)]
pub struct StandinNetwork {
    options: NetworkOptions,
    links: Vec<NetworkLink>,
}

#[derive(Debug)]
struct NetworkLink {
    from: NetworkLocation,
    to: NetworkLocation,
    control: LinkControl,
    _proxy: LinkProxy,
}

#[derive(Debug)]
enum LinkProxy {
    Tcp(#[expect(dead_code, reason = "keeps the proxy running")] TcpProxy),
    Udp(#[expect(dead_code, reason = "keeps the proxy running")] UdpProxy),
    Host(#[expect(dead_code, reason = "keeps the proxy running")] HostLink),
}

impl StandinNetwork {
    /// A network without links.
    pub fn new(options: NetworkOptions) -> Self {
        Self { options, links: Vec::new() }
    }

    /// Adds a TCP link; returns the address at which `from` reaches `upstream` in `to`.
    pub async fn link_tcp(
        &mut self,
        from: NetworkLocation,
        to: NetworkLocation,
        upstream: SocketAddr,
    ) -> Result<SocketAddr, Error> {
        let faults = self.default_faults(&from, &to);
        let proxy = TcpProxy::start(upstream, self.seed(), faults, &self.options.stop).await?;
        let address = proxy.address();
        let control = proxy.control().clone();
        self.links.push(NetworkLink { from, to, control, _proxy: LinkProxy::Tcp(proxy) });
        Ok(address)
    }

    /// Adds a UDP link; returns the address at which `from` reaches `upstream` in `to`.
    pub async fn link_udp(
        &mut self,
        from: NetworkLocation,
        to: NetworkLocation,
        upstream: SocketAddr,
    ) -> Result<SocketAddr, Error> {
        let faults = self.default_faults(&from, &to);
        let proxy = UdpProxy::start(upstream, self.seed(), faults, &self.options.stop).await?;
        let address = proxy.address();
        let control = proxy.control().clone();
        self.links.push(NetworkLink { from, to, control, _proxy: LinkProxy::Udp(proxy) });
        Ok(address)
    }

    /// Adds a link for TCP and UDP to a host in `to`. `sources` maps the source addresses
    /// of peers to their locations.
    pub async fn link_host(
        &mut self,
        to: NetworkLocation,
        sources: &[(IpAddr, NetworkLocation)],
    ) -> Result<HostLink, Error> {
        let mut by_source = HashMap::new();
        for (number, (source, from)) in sources.iter().enumerate() {
            let seed = self.seed().wrapping_add(number as u64);
            by_source.insert(*source, LinkControl::new(seed, self.default_faults(from, &to)));
        }
        let link = HostLink::start(by_source.clone(), &self.options.stop).await?;
        for (source, from) in sources {
            let control = by_source[source].clone();
            let proxy = LinkProxy::Host(link.clone());
            self.links.push(NetworkLink {
                from: from.clone(),
                to: to.clone(),
                control,
                _proxy: proxy,
            });
        }
        Ok(link)
    }

    /// The control handles of the links from `from` to `to`.
    pub fn controls(&self, from: &NetworkLocation, to: &NetworkLocation) -> Vec<LinkControl> {
        self.links
            .iter()
            .filter(|link| link.from == *from && link.to == *to)
            .map(|link| link.control.clone())
            .collect()
    }

    /// Blocks traffic between `a` and `b` in both directions.
    pub fn cut(&self, a: &NetworkLocation, b: &NetworkLocation) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Blocks traffic from `a` to `b`; the opposite direction stays open.
    pub fn cut_one_way(&self, a: &NetworkLocation, b: &NetworkLocation) {
        for link in &self.links {
            if link.from == *a && link.to == *b {
                link.control.set_faults(|faults| faults.cut_forward = true);
            }
            if link.from == *b && link.to == *a {
                link.control.set_faults(|faults| faults.cut_backward = true);
            }
        }
    }

    /// Partitions the network: blocks traffic between locations of different groups. A
    /// location in no group keeps all its links.
    pub fn partition(&self, groups: &[&[NetworkLocation]]) {
        let group_of =
            |location: &NetworkLocation| groups.iter().position(|group| group.contains(location));
        for link in &self.links {
            let is_separated = match (group_of(&link.from), group_of(&link.to)) {
                (Some(from), Some(to)) => from != to,
                _ => false,
            };
            if is_separated {
                link.control.set_faults(|faults| {
                    faults.cut_forward = true;
                    faults.cut_backward = true;
                });
            }
        }
    }

    /// Blocks all traffic to and from the platform.
    pub fn cut_platform(&self) {
        for link in &self.links {
            if link.to == NetworkLocation::Platform || link.from == NetworkLocation::Platform {
                link.control.set_faults(|faults| {
                    faults.cut_forward = true;
                    faults.cut_backward = true;
                });
            }
        }
    }

    /// Resets every link to its default latency without faults.
    pub fn heal(&self) {
        for link in &self.links {
            let defaults = self.default_faults(&link.from, &link.to);
            link.control.set_faults(|faults| *faults = defaults);
        }
    }

    fn seed(&self) -> u64 {
        self.options.seed.wrapping_add(self.links.len() as u64)
    }

    fn default_faults(&self, from: &NetworkLocation, to: &NetworkLocation) -> LinkFaults {
        let latency = match (from, to) {
            (NetworkLocation::Platform, _) | (_, NetworkLocation::Platform) => {
                self.options.to_platform
            }
            (NetworkLocation::Clients, _) | (_, NetworkLocation::Clients) => {
                self.options.to_clients
            }
            (a, b) if a == b => Duration::ZERO,
            _ => self.options.between_zones,
        };
        LinkFaults { latency, ..LinkFaults::default() }
    }
}
