//! The records of all known members, by small keys.

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
    /// The host in this process.
    pub key: HostKey,
    /// The host everywhere.
    pub id: MemberId,
    /// Its name, zone and address.
    pub place: MemberPlace,
    /// Its zone in this process.
    pub zone: ZoneKey,
    /// Orders what is said of it.
    pub stamp: MemberStamp,
    /// What it announced of itself.
    pub phase: MemberPhase,
    /// What its zone holds of it.
    pub health: MemberHealth,
    /// Its digest, if a heartbeat of it came here.
    pub digest: Option<MemberDigest>,
    /// When phase or health last changed.
    pub changed_at: Duration,
    /// Held only by this daemon while it heard nobody: not passed on, and
    /// given up at the first word to the contrary.
    pub(crate) private: bool,
}

impl MemberRecord {
    /// Whether it runs, as far as is known: not dead and not left.
    pub fn is_live(&self) -> bool {
        self.health != MemberHealth::Dead && self.phase != MemberPhase::Left
    }

    /// Whether it may own groups.
    pub fn may_own(&self) -> bool {
        self.is_live() && self.phase == MemberPhase::Serving
    }

    /// What to tell others of it.
    pub(crate) fn rumor(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.id,
            stamp: self.stamp,
            phase: self.phase,
            health: self.health,
            place: self.is_live().then(|| self.place.clone()),
        }
    }

    fn fingerprint(&self) -> u64 {
        if !self.is_live() || self.private {
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
    /// Adds a host that is not known yet.
    pub(crate) fn insert(
        &mut self,
        now: Duration,
        rumor: &MemberUpdate,
        place: MemberPlace,
        zone: ZoneKey,
    ) -> HostKey {
        let key = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            HostKey::from(self.slots.len() - 1)
        });
        let record = MemberRecord {
            key,
            id: rumor.id,
            place,
            zone,
            stamp: rumor.stamp,
            phase: rumor.phase,
            health: rumor.health,
            digest: None,
            changed_at: now,
            private: false,
        };
        self.by_id.insert(record.id, key);
        self.by_peer.insert(record.place.peer, key);
        self.fingerprint ^= record.fingerprint();
        self.slots[key.index()] = Some(record);
        key
    }

    /// Changes a record, keeping the indexes and the fingerprint right.
    pub(crate) fn update(&mut self, key: HostKey, change: impl FnOnce(&mut MemberRecord)) {
        let Some(record) = self.slots.get_mut(key.index()).and_then(Option::as_mut) else { return };
        let before = record.fingerprint();
        let peer_before = record.place.peer;
        change(record);
        self.fingerprint ^= before ^ record.fingerprint();
        let peer = record.place.peer;
        if peer != peer_before {
            if self.by_peer.get(&peer_before) == Some(&key) {
                self.by_peer.remove(&peer_before);
            }
            self.by_peer.insert(peer, key);
        }
    }

    /// Drops a record and frees its key.
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

    /// How many hosts are known, dead ones included.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// A hash of all live records; equal lists have equal hashes.
    pub(crate) fn fingerprint(&self) -> u64 {
        self.fingerprint
    }
}
