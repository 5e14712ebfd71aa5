//! The fleet as seen by this host.

use std::collections::HashMap;
use std::net::SocketAddr;

use hawthorn_fleet::GroupId;
use hawthorn_fleet::MemberHealth;
use hawthorn_fleet::MemberId;
use hawthorn_fleet::MemberPhase;
use hawthorn_fleet::MemberTable;
use hawthorn_fleet::ownership;
use hawthorn_fleet::ownership::OwnerCandidate;
use hawthorn_types::ConfigRevision;
use hawthorn_types::HostKey;

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRecord {
    /// Key within this process.
    pub key: HostKey,
    /// Id across all processes.
    pub id: MemberId,
    /// Host name.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Address of its peer interface.
    pub peer: SocketAddr,
    /// Phase that the host reports.
    pub phase: MemberPhase,
    /// Health according to its zone.
    pub health: MemberHealth,
    /// Configuration revision that the host last reported as in force.
    pub revision: ConfigRevision,
}

/// All members, and those that may own groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Increases with each change.
    pub generation: u64,
    /// Key of this host.
    pub me: HostKey,
    /// All known members.
    pub hosts: HashMap<HostKey, HostRecord>,
    /// Hosts that may own groups, by reachable zone.
    owners: HashMap<String, Vec<(HostKey, MemberId)>>,
    /// Zones with members that are currently unreachable.
    pub lost_zones: Vec<String>,
}

impl FleetView {
    /// Copies the members from the table.
    pub fn of(table: &MemberTable, generation: u64) -> Self {
        let hosts = table.records().map(|record| {
            let host = HostRecord {
                key: record.key,
                id: record.id,
                host: record.place.host.clone(),
                zone: record.place.zone.clone(),
                peer: record.place.peer,
                phase: record.phase,
                health: record.health,
                revision: record.digest.map(|digest| digest.revision).unwrap_or_default(),
            };
            (record.key, host)
        });
        let owners = |zone: &str| table.owners(zone).map(|host| (host.key, host.id)).collect();
        Self {
            generation,
            me: table.me(),
            hosts: hosts.collect(),
            owners: table.zones().map(|zone| (zone.to_owned(), owners(zone))).collect(),
            lost_zones: table
                .zones()
                .filter(|zone| !table.zone_reachable(zone))
                .map(str::to_owned)
                .collect(),
        }
    }

    /// Returns the owner of a group; `None` if no host of its zone is reachable.
    pub fn owner_of(&self, zone: &str, bucket: u32) -> Option<HostKey> {
        let group = GroupId::new(zone, u16::try_from(bucket).ok()?);
        self.owner(group, self.owners.get(zone)?.iter())
    }

    /// Returns the host of a zone that commits the claims of a bucket.
    pub fn claim_owner(&self, zone: &str, bucket: u32) -> Option<HostKey> {
        let group = GroupId::new(&format!("claims/{zone}"), u16::try_from(bucket).ok()?);
        self.owner(group, self.owners.get(zone)?.iter())
    }

    fn owner<'a>(
        &self,
        group: GroupId,
        hosts: impl Iterator<Item = &'a (HostKey, MemberId)>,
    ) -> Option<HostKey> {
        ownership::owner(group, hosts.map(|&(key, id)| OwnerCandidate { key, id }))
    }

    /// All reachable hosts that may own groups.
    pub fn all_owners(&self) -> impl Iterator<Item = &HostRecord> {
        self.owners.values().flatten().filter_map(|(key, _)| self.hosts.get(key))
    }

    /// Whether the peer address belongs to a live host of a reachable zone.
    pub fn is_reachable(&self, peer: SocketAddr) -> bool {
        let host = self.hosts.values().find(|host| host.peer == peer);
        host.is_some_and(|host| {
            let is_gone = host.health == MemberHealth::Dead || host.phase == MemberPhase::Left;
            !is_gone && !self.lost_zones.contains(&host.zone)
        })
    }

    /// Address of a host's peer interface.
    pub fn peer(&self, key: HostKey) -> Option<SocketAddr> {
        self.hosts.get(&key).map(|host| host.peer)
    }

    /// Number of live members.
    pub fn live(&self) -> usize {
        let live = self
            .hosts
            .values()
            .filter(|host| host.health != MemberHealth::Dead && host.phase != MemberPhase::Left);
        live.count()
    }
}
