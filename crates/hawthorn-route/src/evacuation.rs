//! Availability zones that operators have evacuated.
//!
//! The targets of an evacuated zone receive no requests; its hosts continue to serve callers.
//! The requests of an evacuated zone move to the other zones at once. A gradual move would not
//! reduce the final load of the other zones, and would take too long on a host that receives the
//! evacuation shortly before it must be in force.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::revision::StoreRevision;

/// Effect of a change of a zone's evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EvacuationChange {
    /// None, or the change was older than the known state.
    None,
    /// The zone's targets receive no requests from now on.
    Begun,
    /// The zone's targets receive requests again.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct ZoneRecord {
    revision: StoreRevision,
    evacuated: bool,
}

/// Evacuations by zone, each as of a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct ZoneEvacuations {
    zones: BTreeMap<Rc<str>, ZoneRecord>,
}

impl ZoneEvacuations {
    /// Applies a change of one zone that was made at `revision`.
    ///
    /// A zone may be evacuated and released in quick succession. If the changes arrive in the
    /// wrong order, the older one is ignored, so that the zone does not stay evacuated.
    pub fn apply(
        &mut self,
        zone: &str,
        evacuated: bool,
        revision: StoreRevision,
    ) -> EvacuationChange {
        let known = self.zones.get(zone).copied();
        if known.is_some_and(|record| revision < record.revision) {
            return EvacuationChange::None;
        }
        self.zones.insert(Rc::from(zone), ZoneRecord { revision, evacuated });
        let before = known.is_some_and(|record| record.evacuated);
        match (before, evacuated) {
            (false, true) => EvacuationChange::Begun,
            (true, false) => EvacuationChange::Ended,
            _ => EvacuationChange::None,
        }
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|record| record.evacuated)
    }

    /// The evacuated zones.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.zones.iter().filter(|(_, record)| record.evacuated);
        evacuated.map(|(zone, _)| &**zone)
    }
}
