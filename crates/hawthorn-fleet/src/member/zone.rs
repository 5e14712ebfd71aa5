//! When a datagram was last received from each availability zone, by this daemon or by another
//! member of its own zone.

use std::time::Duration;

use hawthorn_types::ZoneKey;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::ZoneAge;

/// Maximum number of zones reported in one datagram. Ages of all of 25 zones in each would be a
/// third of a daemon's traffic; with a few at a time, each is still sent about three times a
/// second.
const MAX_ZONES_SENT: usize = 8;

/// Identifies a zone in datagrams: the low half of a hash of its name.
fn zone_hash(zone: &str) -> u32 {
    (xxh3_64(zone.as_bytes()) & u64::from(u32::MAX)) as u32
}

#[derive(Debug)]
struct ZoneState {
    name: String,
    hash: u32,
    last_contact: Duration,
    reachable: bool,
}

/// All zones that have or had members. Never shrinks, so that keys stay valid.
#[derive(Debug, Default)]
pub(crate) struct ZoneTable {
    zones: Vec<ZoneState>,
}

impl ZoneTable {
    /// The key of the zone, and whether it was added.
    pub(crate) fn add(&mut self, now: Duration, name: &str) -> (ZoneKey, bool) {
        if let Some(key) = self.key(name) {
            return (key, false);
        }
        let hash = zone_hash(name);
        self.zones.push(ZoneState {
            name: name.to_owned(),
            hash,
            last_contact: now,
            reachable: true,
        });
        (ZoneKey::from(self.zones.len() - 1), true)
    }

    /// The key of a known zone.
    pub(crate) fn key(&self, name: &str) -> Option<ZoneKey> {
        self.zones.iter().position(|state| state.name == name).map(ZoneKey::from)
    }

    /// Records that a datagram from the zone was received now.
    pub(crate) fn record_contact(&mut self, now: Duration, zone: ZoneKey) {
        if let Some(state) = self.zones.get_mut(zone.index()) {
            state.last_contact = now;
        }
    }

    /// Merges the ages reported by another daemon of the same zone.
    pub(crate) fn merge_ages(&mut self, now: Duration, ages: &[ZoneAge]) {
        for age in ages {
            let at = now.saturating_sub(Duration::from_millis(u64::from(age.age_ms)));
            if let Some(state) = self.zones.iter_mut().find(|state| state.hash == age.zone) {
                state.last_contact = state.last_contact.max(at);
            }
        }
    }

    /// Extends the timeout of every zone by a pause of this process.
    pub(crate) fn shift(&mut self, gap: Duration) {
        for state in &mut self.zones {
            state.last_contact += gap;
        }
    }

    /// Updates which zones are reachable, and returns those that became reachable (true) or lost
    /// (false).
    pub(crate) fn update_reachability(
        &mut self,
        now: Duration,
        timeout: Duration,
    ) -> Vec<(ZoneKey, bool)> {
        let mut changed = Vec::new();
        for (index, state) in self.zones.iter_mut().enumerate() {
            let reachable = now.saturating_sub(state.last_contact) <= timeout;
            if reachable != state.reachable {
                state.reachable = reachable;
                changed.push((ZoneKey::from(index), reachable));
            }
        }
        changed
    }

    /// Whether the zone was reachable at the last update.
    pub(crate) fn reachable(&self, zone: ZoneKey) -> bool {
        self.zones.get(zone.index()).is_some_and(|state| state.reachable)
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = ZoneKey> + use<> {
        (0..self.zones.len()).map(ZoneKey::from)
    }

    /// The zone's name; empty for a key that is not in this table.
    pub(crate) fn name(&self, zone: ZoneKey) -> &str {
        self.zones.get(zone.index()).map_or("", |state| state.name.as_str())
    }

    /// Ages to report for a few of the zones, selected by `turn`. Ages that do not fit the format
    /// are omitted.
    pub(crate) fn ages(&self, now: Duration, turn: u64) -> SmallVec<[ZoneAge; 4]> {
        let parts = self.zones.len().div_ceil(MAX_ZONES_SENT).max(1);
        // Hashed, because only every second datagram may go to this daemon's zone.
        let hash = xxh3_64(&turn.to_le_bytes()) % parts as u64;
        let part = usize::try_from(hash).unwrap_or_default();
        self.zones
            .iter()
            .skip(part * MAX_ZONES_SENT)
            .take(MAX_ZONES_SENT)
            .filter_map(|state| {
                let age = now.saturating_sub(state.last_contact).as_millis();
                u16::try_from(age).ok().map(|age_ms| ZoneAge { zone: state.hash, age_ms })
            })
            .collect()
    }
}
