//! The fleet as this host sees it at a moment.

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
    /// Its key in this process.
    pub key: HostKey,
    /// Its name everywhere.
    pub id: MemberId,
    /// Its name.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Its peer interface.
    pub peer: SocketAddr,
    /// What it says of itself.
    pub phase: MemberPhase,
    /// What its zone holds of it.
    pub health: MemberHealth,
    /// The configuration revision it last said it has in force.
    pub revision: ConfigRevision,
}

/// All members and who may own groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Grows with each change.
    pub generation: u64,
    /// This host.
    pub me: HostKey,
    /// All known members.
    pub hosts: HashMap<HostKey, HostRecord>,
    /// Hosts that may own groups, by reachable zone.
    owners: HashMap<String, Vec<(HostKey, MemberId)>>,
    /// Zones with members that cannot be heard now.
    pub lost_zones: Vec<String>,
}

impl FleetView {
    /// Takes the members out of the table.
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

    /// The owner of a group, none when no host of its zone can be reached.
    pub fn owner_of(&self, zone: &str, bucket: u32) -> Option<HostKey> {
        let group = GroupId::new(zone, u16::try_from(bucket).ok()?);
        self.owner(group, self.owners.get(zone)?.iter())
    }

    /// The host of a zone that commits the claims of a bucket.
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

    /// All hosts that may own groups and can be reached.
    pub fn all_owners(&self) -> impl Iterator<Item = &HostRecord> {
        self.owners.values().flatten().filter_map(|(key, _)| self.hosts.get(key))
    }

    /// Whether a live host of a zone that can be heard has this peer address.
    pub fn is_reachable(&self, peer: SocketAddr) -> bool {
        let host = self.hosts.values().find(|host| host.peer == peer);
        host.is_some_and(|host| {
            let gone = host.health == MemberHealth::Dead || host.phase == MemberPhase::Left;
            !gone && !self.lost_zones.contains(&host.zone)
        })
    }

    /// Where a host's peer interface is.
    pub fn peer(&self, key: HostKey) -> Option<SocketAddr> {
        self.hosts.get(&key).map(|host| host.peer)
    }

    /// Members that are live.
    pub fn live(&self) -> usize {
        let live = self
            .hosts
            .values()
            .filter(|host| host.health != MemberHealth::Dead && host.phase != MemberPhase::Left);
        live.count()
    }
}
