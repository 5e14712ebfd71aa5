//! Which hosts of a zone gather queries over many shards.
//!
//! The load it is for: a fleet of many small hosts, each with a query or so a
//! second, before shards whose targets accept few connections. The harm it
//! prevents: every query opens connections anew, nobody knows which target
//! pauses, and together the hosts hold more connections than a target accepts.
//! A few hosts of each zone gather for the others, just as many as the zone's
//! queries keep busy; where that is all of them, everybody gathers its own.

/// Queries a second that a quarter of a core gathers: each target of its zone
/// then tells it its load ten times a second, about as often as that changes.
const QUERIES_EACH: f64 = 10.0;
/// That much of a core, in thousandths.
const USUAL_CAPACITY: f64 = 250.0;
/// Hosts of a zone that gather, at least: one may be down and another starting.
const LEAST_GATHERERS: usize = 3;

/// A host of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneHost {
    /// Its id.
    pub id: u64,
    /// Thousandths of a core that it may use; 0 where it does not say.
    pub capacity: u32,
}

/// The ids of the hosts that gather for their zone, given its queries a second.
///
/// The most capable come first: a query over a hundred shards takes a host of a
/// tenth of a core as long as its callers wait. A host of less than half of the
/// best one's capacity gathers only when the better ones are busy.
pub fn choose(hosts: &[ZoneHost], queries: f64) -> Vec<u64> {
    let mut ranked = hosts.to_vec();
    ranked.sort_unstable_by_key(|host| (std::cmp::Reverse(host.capacity), host.id));
    let best = ranked.first().map_or(0, |host| host.capacity);
    let capable = ranked.iter().filter(|host| host.capacity * 2 >= best).count();
    let least = capable.min(LEAST_GATHERERS);
    let mut carried = 0.0;
    let mut chosen = Vec::new();
    for host in ranked {
        if chosen.len() >= least && carried >= queries {
            break;
        }
        let capacity = if host.capacity == 0 { USUAL_CAPACITY } else { f64::from(host.capacity) };
        carried += QUERIES_EACH * capacity / USUAL_CAPACITY;
        chosen.push(host.id);
    }
    chosen
}
