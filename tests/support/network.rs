//! Zones that reach each other and the platform through links that can be cut.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use hawthorn_standin::deployment::StandinDeployment;
use hawthorn_standin::proxy::HostLink;
use hawthorn_standin::proxy::NetworkLocation;
use hawthorn_standin::proxy::NetworkOptions;
use hawthorn_standin::proxy::StandinNetwork;

use super::TestResult;
use super::daemon::DaemonSpec;

/// Links between zones, and the loopback address that the hosts of each zone share.
#[derive(Debug)]
pub struct ZoneNetwork {
    pub links: StandinNetwork,
    zones: Vec<LinkedZone>,
}

#[derive(Debug)]
struct LinkedZone {
    name: String,
    /// Source address of the zone's hosts, by which a link identifies the sender's zone.
    address: IpAddr,
    platform: SocketAddr,
}

impl ZoneNetwork {
    /// Assigns each zone a loopback address and a link to the platform.
    pub async fn start(deployment: &StandinDeployment) -> TestResult<Self> {
        let mut links = StandinNetwork::new(NetworkOptions::dar_port());
        let mut zones = Vec::new();
        for (number, name) in (1..).zip(&deployment.options().zones) {
            let upstream = deployment.platform.address();
            let location = NetworkLocation::zone(name);
            let platform = links.link_tcp(location, NetworkLocation::Platform, upstream).await?;
            let address = Ipv4Addr::new(127, 0, number, 1).into();
            zones.push(LinkedZone { name: name.clone(), address, platform });
        }
        Ok(Self { links, zones })
    }

    /// Creates a link for a daemon and returns its settings, adapted to the link.
    pub async fn link(&mut self, spec: DaemonSpec) -> TestResult<(DaemonSpec, HostLink)> {
        let sources: Vec<(IpAddr, NetworkLocation)> = self
            .zones
            .iter()
            .map(|zone| (zone.address, NetworkLocation::zone(&zone.name)))
            .collect();
        let location = NetworkLocation::zone(&spec.zone);
        let link = self.links.link_host(location, &sources).await?;
        let zone = self.zones.iter().find(|zone| zone.name == spec.zone).ok_or("no such zone")?;
        let spec = DaemonSpec {
            platform: zone.platform,
            peer_address: SocketAddr::new(zone.address, 0),
            peer_advertised: Some(link.address()),
            ..spec
        };
        Ok((spec, link))
    }
}
