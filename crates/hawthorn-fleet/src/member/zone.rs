//! When each availability zone was last heard from, by this daemon or by one
//! of its own zone that passed it on.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::ZoneAge;

/// Zones passed on in one datagram; ages of 25 zones fit beside a few rumors.
const ZONES_SENT: usize = 32;

/// Names a zone in datagrams: the low half of a hash of its name.
pub(crate) fn zone_hash(zone: &str) -> u32 {
    (xxh3_64(zone.as_bytes()) & u64::from(u32::MAX)) as u32
}

#[derive(Debug)]
struct ZoneReach {
    name: String,
    heard: Duration,
    reachable: bool,
}

/// All zones with known members.
#[derive(Debug, Default)]
pub(crate) struct ZoneTable {
    zones: BTreeMap<u32, ZoneReach>,
}

impl ZoneTable {
    /// Adds the zone if it is new; true when it was.
    pub(crate) fn add(&mut self, now: Duration, name: &str) -> bool {
        let hash = zone_hash(name);
        if self.zones.contains_key(&hash) {
            return false;
        }
        self.zones.insert(hash, ZoneReach { name: name.to_owned(), heard: now, reachable: true });
        true
    }

    /// Notes that a member of the zone was heard `age` ago.
    pub(crate) fn hear(&mut self, now: Duration, zone: u32, age: Duration) {
        if let Some(reach) = self.zones.get_mut(&zone) {
            reach.heard = reach.heard.max(now.saturating_sub(age));
        }
    }

    /// Gives every zone its full time again after this process stood still.
    pub(crate) fn shift(&mut self, gap: Duration) {
        for reach in self.zones.values_mut() {
            reach.heard += gap;
        }
    }

    /// Zones that became reachable (true) or lost (false) by now.
    pub(crate) fn review(&mut self, now: Duration, timeout: Duration) -> Vec<(String, bool)> {
        let mut changed = Vec::new();
        for reach in self.zones.values_mut() {
            let reachable = now.saturating_sub(reach.heard) <= timeout;
            if reachable != reach.reachable {
                reach.reachable = reachable;
                changed.push((reach.name.clone(), reachable));
            }
        }
        changed
    }

    /// Whether the zone was heard from within the timeout, as last reviewed.
    pub(crate) fn reachable(&self, name: &str) -> bool {
        self.zones.get(&zone_hash(name)).is_some_and(|reach| reach.reachable)
    }

    /// Whether any zone but `own` is reachable.
    pub(crate) fn others_reachable(&self, own: &str) -> bool {
        self.zones.values().any(|reach| reach.reachable && reach.name != own)
    }

    /// Names of all zones.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.zones.values().map(|reach| reach.name.as_str())
    }

    /// Ages to pass on, without those too old to be of use.
    pub(crate) fn ages(&self, now: Duration) -> SmallVec<[ZoneAge; 4]> {
        self.zones
            .iter()
            .filter_map(|(&zone, reach)| {
                let age = now.saturating_sub(reach.heard).as_millis();
                u16::try_from(age).ok().map(|age_ms| ZoneAge { zone, age_ms })
            })
            .take(ZONES_SENT)
            .collect()
    }
}
