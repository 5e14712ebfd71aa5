//! All links of a test by the places they join: latencies by default, and
//! partitions by name.

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

/// Where one end of a link stands.
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

/// Latencies one way, and the seed of all links.
#[derive(Clone, Debug)]
pub struct NetworkOptions {
    /// Between availability zones.
    pub between_zones: Duration,
    /// Between clients and any zone.
    pub to_clients: Duration,
    /// Between any zone and the platform.
    pub to_platform: Duration,
    /// The same seed makes the same draws on the link of the same number.
    pub seed: u64,
    /// Stops all links.
    pub stop: CancellationToken,
}

impl NetworkOptions {
    /// Dar Port.
    pub fn dar_port() -> Self {
        Self {
            between_zones: Duration::from_micros(1_500),
            to_clients: Duration::from_millis(1),
            to_platform: Duration::from_millis(1),
            seed: 1,
            stop: CancellationToken::new(),
        }
    }

    /// Poland.
    pub fn poland() -> Self {
        Self { between_zones: Duration::from_micros(500), ..Self::dar_port() }
    }
}

impl Default for NetworkOptions {
    fn default() -> Self {
        Self::dar_port()
    }
}

/// The links of one test; they stop when it is dropped.
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
    Tcp(#[expect(dead_code, reason = "held so that it runs")] TcpProxy),
    Udp(#[expect(dead_code, reason = "held so that it runs")] UdpProxy),
    Host(#[expect(dead_code, reason = "held so that it runs")] HostLink),
}

impl StandinNetwork {
    /// A network without links.
    pub fn new(options: NetworkOptions) -> Self {
        Self { options, links: Vec::new() }
    }

    /// A TCP address at which `from` reaches `upstream`, which stands at `to`.
    pub async fn link_tcp(
        &mut self,
        from: NetworkLocation,
        to: NetworkLocation,
        upstream: SocketAddr,
    ) -> Result<SocketAddr, Error> {
        let faults = self.usual(&from, &to);
        let proxy = TcpProxy::start(upstream, self.seed(), faults, &self.options.stop).await?;
        let address = proxy.address();
        let control = proxy.control().clone();
        self.links.push(NetworkLink { from, to, control, _proxy: LinkProxy::Tcp(proxy) });
        Ok(address)
    }

    /// A UDP address at which `from` reaches `upstream`, which stands at `to`.
    pub async fn link_udp(
        &mut self,
        from: NetworkLocation,
        to: NetworkLocation,
        upstream: SocketAddr,
    ) -> Result<SocketAddr, Error> {
        let faults = self.usual(&from, &to);
        let proxy = UdpProxy::start(upstream, self.seed(), faults, &self.options.stop).await?;
        let address = proxy.address();
        let control = proxy.control().clone();
        self.links.push(NetworkLink { from, to, control, _proxy: LinkProxy::Udp(proxy) });
        Ok(address)
    }

    /// An address, TCP and UDP, at which peers reach a host in zone `to`. Each
    /// peer stands in the place of `sources` whose address it comes from.
    pub async fn link_host(
        &mut self,
        to: NetworkLocation,
        sources: &[(IpAddr, NetworkLocation)],
    ) -> Result<HostLink, Error> {
        let mut by_source = HashMap::new();
        for (number, (source, from)) in sources.iter().enumerate() {
            let seed = self.seed().wrapping_add(number as u64);
            by_source.insert(*source, LinkControl::new(seed, self.usual(from, &to)));
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

    /// The handles of the links that lead from `from` to `to`.
    pub fn controls(&self, from: &NetworkLocation, to: &NetworkLocation) -> Vec<LinkControl> {
        self.links
            .iter()
            .filter(|link| link.from == *from && link.to == *to)
            .map(|link| link.control.clone())
            .collect()
    }

    /// Cuts `a` and `b` off from each other, both ways.
    pub fn cut(&self, a: &NetworkLocation, b: &NetworkLocation) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Lets nothing pass from `a` to `b`; the other way stays open.
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

    /// Cuts every two places that stand in different groups. A place in no
    /// group keeps all its links.
    pub fn partition(&self, groups: &[&[NetworkLocation]]) {
        let group_of =
            |place: &NetworkLocation| groups.iter().position(|group| group.contains(place));
        for link in &self.links {
            let apart = match (group_of(&link.from), group_of(&link.to)) {
                (Some(from), Some(to)) => from != to,
                _ => false,
            };
            if apart {
                link.control.set_faults(|faults| {
                    faults.cut_forward = true;
                    faults.cut_backward = true;
                });
            }
        }
    }

    /// Cuts every place off from the platform.
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

    /// Puts every link back to its usual latency without faults.
    pub fn heal(&self) {
        for link in &self.links {
            let usual = self.usual(&link.from, &link.to);
            link.control.set_faults(|faults| *faults = usual);
        }
    }

    fn seed(&self) -> u64 {
        self.options.seed.wrapping_add(self.links.len() as u64)
    }

    fn usual(&self, from: &NetworkLocation, to: &NetworkLocation) -> LinkFaults {
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
