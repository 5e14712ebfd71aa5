//! The records of all known members, indexed by small keys.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use hawthorn_types::HostKey;
use hawthorn_types::ZoneKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::message::MemberDigest;
use crate::message::MemberHealth;
use crate::message::MemberId;
use crate::message::MemberPhase;
use crate::message::MemberPlace;
use crate::message::MemberStamp;
use crate::message::MemberUpdate;

/// One known host.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Key of the host in this process.
    pub key: HostKey,
    /// Id of the host across the fleet.
    pub id: MemberId,
    /// Its name, zone and address.
    pub place: MemberPlace,
    /// Key of its zone in this process.
    pub zone: ZoneKey,
    /// Orders updates about the host.
    pub stamp: MemberStamp,
    /// The phase that it announced.
    pub phase: MemberPhase,
    /// Health as determined by its zone.
    pub health: MemberHealth,
    /// Its latest digest, if this daemon received a heartbeat from it.
    pub digest: Option<MemberDigest>,
    /// When phase or health last changed.
    pub changed_at: Duration,
    /// The health is a verdict that only this daemon reached while it received nothing: it is not
    /// gossiped, and is dropped at the first contradicting update.
    pub(crate) local_only: bool,
}

impl MemberRecord {
    /// Whether it is believed to run: neither dead nor left.
    pub fn is_live(&self) -> bool {
        self.health != MemberHealth::Dead && self.phase != MemberPhase::Left
    }

    /// Whether it may own groups.
    pub fn may_own(&self) -> bool {
        self.is_live() && self.phase == MemberPhase::Serving
    }

    /// The update that describes this record to peers.
    pub(crate) fn to_update(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.id,
            stamp: self.stamp,
            phase: self.phase,
            health: self.health,
            place: self.is_live().then(|| self.place.clone()),
        }
    }

    fn fingerprint(&self) -> u64 {
        if !self.is_live() || self.local_only {
            return 0;
        }
        let stamp = self.stamp.incarnation ^ u64::from(self.stamp.sequence).rotate_left(48);
        xxh3_64_with_seed(&stamp.to_le_bytes(), self.id.0 ^ self.health as u64)
    }
}

/// Records by key, id and address.
#[derive(Debug, Default)]
pub(crate) struct MemberArena {
    slots: Vec<Option<MemberRecord>>,
    free: Vec<HostKey>,
    by_id: BTreeMap<MemberId, HostKey>,
    by_peer: BTreeMap<SocketAddr, HostKey>,
    fingerprint: u64,
}

impl MemberArena {
    /// Adds a host that is not in the table.
    pub(crate) fn insert(
        &mut self,
        now: Duration,
        update: &MemberUpdate,
        place: MemberPlace,
        zone: ZoneKey,
    ) -> HostKey {
        let key = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            HostKey::from(self.slots.len() - 1)
        });
        let record = MemberRecord {
            key,
            id: update.id,
            place,
            zone,
            stamp: update.stamp,
            phase: update.phase,
            health: update.health,
            digest: None,
            changed_at: now,
            local_only: false,
        };
        self.by_id.insert(record.id, key);
        self.by_peer.insert(record.place.peer, key);
        self.fingerprint ^= record.fingerprint();
        self.slots[key.index()] = Some(record);
        key
    }

    /// Changes a record and keeps the indexes and the fingerprint consistent.
    pub(crate) fn update(&mut self, key: HostKey, change: impl FnOnce(&mut MemberRecord)) {
        let Some(record) = self.slots.get_mut(key.index()).and_then(Option::as_mut) else { return };
        let old_fingerprint = record.fingerprint();
        let old_peer = record.place.peer;
        change(record);
        self.fingerprint ^= old_fingerprint ^ record.fingerprint();
        let peer = record.place.peer;
        if peer != old_peer {
            if self.by_peer.get(&old_peer) == Some(&key) {
                self.by_peer.remove(&old_peer);
            }
            self.by_peer.insert(peer, key);
        }
    }

    /// Removes a record and frees its key.
    pub(crate) fn remove(&mut self, key: HostKey) {
        let Some(record) = self.slots.get_mut(key.index()).and_then(Option::take) else { return };
        self.fingerprint ^= record.fingerprint();
        self.by_id.remove(&record.id);
        if self.by_peer.get(&record.place.peer) == Some(&key) {
            self.by_peer.remove(&record.place.peer);
        }
        self.free.push(key);
    }

    pub(crate) fn get(&self, key: HostKey) -> Option<&MemberRecord> {
        self.slots.get(key.index()).and_then(Option::as_ref)
    }

    pub(crate) fn by_id(&self, id: MemberId) -> Option<&MemberRecord> {
        self.by_id.get(&id).and_then(|&key| self.get(key))
    }

    pub(crate) fn by_peer(&self, peer: SocketAddr) -> Option<&MemberRecord> {
        self.by_peer.get(&peer).and_then(|&key| self.get(key))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.slots.iter().flatten()
    }

    /// Records in order of id, after `after`.
    pub(crate) fn after(&self, after: u64) -> impl Iterator<Item = &MemberRecord> {
        self.by_id
            .range((Bound::Excluded(MemberId(after)), Bound::Unbounded))
            .filter_map(|(_, &key)| self.get(key))
    }

    /// Number of known hosts, including dead ones.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// A hash of all live records; equal lists have equal hashes.
    pub(crate) fn fingerprint(&self) -> u64 {
        self.fingerprint
    }
}
