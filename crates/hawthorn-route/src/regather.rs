//! Selects the zones in which shards are gathered anew after a peer did not answer.
//!
//! Handles a zone that is cut off while hosts of other zones have queries at its gatherers. A host
//! sends extra attempts only if it has earned them with first ones, and a gatherer of a zone
//! without targets sends few: the query would end there at once. It is therefore gathered anew
//! where targets of its shards are.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::rc::Rc;

use smallvec::SmallVec;

use crate::placement::PlacementView;

/// Maximum number of times that the zone which gathers a shard changes during one query. A third
/// zone is unlikely to fail for a cause of its own.
pub const MAX_ZONES: u8 = 2;

/// The zones other than `silent` with available targets of the shards, best first: those with
/// targets of most shards, and among equals this host's own zone.
pub fn zones<'a>(
    view: PlacementView<'_>,
    shards: impl IntoIterator<Item = &'a str>,
    silent: &str,
) -> Vec<Rc<str>> {
    let mut counts: HashMap<Rc<str>, usize> = HashMap::new();
    for shard in shards {
        let mut in_zones: SmallVec<[&Rc<str>; 4]> = SmallVec::new();
        for state in view.available_targets(shard) {
            let zone = &state.entry.zone;
            if **zone != *silent && !in_zones.contains(&zone) {
                in_zones.push(zone);
            }
        }
        for zone in in_zones {
            *counts.entry(Rc::clone(zone)).or_default() += 1;
        }
    }
    let mut zones: Vec<(Rc<str>, usize)> = counts.into_iter().collect();
    zones.sort_by_key(|(zone, count)| (Reverse(*count), **zone != *view.zone, Rc::clone(zone)));
    zones.into_iter().map(|(zone, _)| zone).collect()
}
