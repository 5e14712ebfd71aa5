//! When each availability zone was last heard from, by this daemon or by one
//! of its own zone that passed it on.

use std::time::Duration;

use hawthorn_types::ZoneKey;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::ZoneAge;

/// Zones passed on in one datagram. Ages of all of 25 zones in each would be a
/// third of a daemon's bytes; a few at a time, each still goes out about three
/// times a second.
const ZONES_SENT: usize = 8;

/// Names a zone in datagrams: the low half of a hash of its name.
fn zone_hash(zone: &str) -> u32 {
    (xxh3_64(zone.as_bytes()) & u64::from(u32::MAX)) as u32
}

#[derive(Debug)]
struct ZoneReach {
    name: String,
    hash: u32,
    heard: Duration,
    reachable: bool,
}

/// All zones that have or had members. Never shrinks, so that keys stay valid.
#[derive(Debug, Default)]
pub(crate) struct ZoneTable {
    zones: Vec<ZoneReach>,
}

impl ZoneTable {
    /// The key of the zone, which is added if it is new; true when it was.
    pub(crate) fn add(&mut self, now: Duration, name: &str) -> (ZoneKey, bool) {
        if let Some(key) = self.key(name) {
            return (key, false);
        }
        let hash = zone_hash(name);
        self.zones.push(ZoneReach { name: name.to_owned(), hash, heard: now, reachable: true });
        (ZoneKey::from(self.zones.len() - 1), true)
    }

    /// The key of a known zone.
    pub(crate) fn key(&self, name: &str) -> Option<ZoneKey> {
        self.zones.iter().position(|reach| reach.name == name).map(ZoneKey::from)
    }

    /// Notes that a member of the zone was heard now.
    pub(crate) fn hear(&mut self, now: Duration, zone: ZoneKey) {
        if let Some(reach) = self.zones.get_mut(zone.index()) {
            reach.heard = now;
        }
    }

    /// Notes what another daemon of the own zone heard.
    pub(crate) fn hear_ages(&mut self, now: Duration, ages: &[ZoneAge]) {
        for age in ages {
            let at = now.saturating_sub(Duration::from_millis(u64::from(age.age_ms)));
            if let Some(reach) = self.zones.iter_mut().find(|reach| reach.hash == age.zone) {
                reach.heard = reach.heard.max(at);
            }
        }
    }

    /// Gives every zone its full time again after this process stood still.
    pub(crate) fn shift(&mut self, gap: Duration) {
        for reach in &mut self.zones {
            reach.heard += gap;
        }
    }

    /// Zones that became reachable (true) or lost (false) by now.
    pub(crate) fn review(&mut self, now: Duration, timeout: Duration) -> Vec<(ZoneKey, bool)> {
        let mut changed = Vec::new();
        for (index, reach) in self.zones.iter_mut().enumerate() {
            let reachable = now.saturating_sub(reach.heard) <= timeout;
            if reachable != reach.reachable {
                reach.reachable = reachable;
                changed.push((ZoneKey::from(index), reachable));
            }
        }
        changed
    }

    /// Whether the zone was heard from within the timeout, as last reviewed.
    pub(crate) fn reachable(&self, zone: ZoneKey) -> bool {
        self.zones.get(zone.index()).is_some_and(|reach| reach.reachable)
    }

    /// All keys.
    pub(crate) fn keys(&self) -> impl Iterator<Item = ZoneKey> + use<> {
        (0..self.zones.len()).map(ZoneKey::from)
    }

    /// The zone's name; empty for a key that is not of this table.
    pub(crate) fn name(&self, zone: ZoneKey) -> &str {
        self.zones.get(zone.index()).map_or("", |reach| reach.name.as_str())
    }

    /// Ages to pass on, without those too old to be of use: a few of
    /// the zones, chosen by `turn`.
    pub(crate) fn ages(&self, now: Duration, turn: u64) -> SmallVec<[ZoneAge; 4]> {
        let parts = self.zones.len().div_ceil(ZONES_SENT).max(1);
        // Hashed, as datagrams within the zone may be every second one.
        let hash = xxh3_64(&turn.to_le_bytes()) % parts as u64;
        let part = usize::try_from(hash).unwrap_or_default();
        self.zones
            .iter()
            .skip(part * ZONES_SENT)
            .take(ZONES_SENT)
            .filter_map(|reach| {
                let age = now.saturating_sub(reach.heard).as_millis();
                u16::try_from(age).ok().map(|age_ms| ZoneAge { zone: reach.hash, age_ms })
            })
            .collect()
    }
}
