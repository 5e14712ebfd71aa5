//! Selects the hosts of a zone that gather queries for the others.
//!
//! Handles a fleet of many small hosts, each with about one query a second, and targets that
//! accept few connections. If every host gathered, each query would open new connections, no
//! host would receive enough answers to detect a paused target, and the hosts together would
//! exceed the connection limit of the targets. A few hosts of each zone therefore gather for
//! the others, as many as the zone's query rate needs. If all hosts are needed, each gathers its
//! own queries.

use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;
use smallvec::SmallVec;

/// Queries per second that a host of [`DEFAULT_CAPACITY`] gathers. At this rate each target of
/// its zone reports its load ten times a second, about as often as the load changes.
const QUERY_RATE: f64 = 10.0;
/// Capacity assumed for a host that reports none: a quarter of a core, in thousandths of a core.
const DEFAULT_CAPACITY: f64 = 250.0;
/// Minimum number of gatherers of a zone: one may be down while another restarts.
const MIN_GATHERERS: usize = 3;

/// A host of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneHost {
    /// Id of the host.
    pub id: u64,
    /// Its processor limit in thousandths of a core; 0 if unknown.
    pub capacity: u32,
}

/// The ids of the hosts that gather for their zone, given its queries per second.
///
/// Hosts with the greatest capacity are selected first: on a tenth of a core, gathering a query
/// over a hundred shards takes as long as its callers wait. A host with less than half of the
/// greatest capacity gathers only if the others are not sufficient.
pub fn choose(hosts: &[ZoneHost], query_rate: f64) -> Vec<u64> {
    let mut ranked = hosts.to_vec();
    ranked.sort_unstable_by_key(|host| (std::cmp::Reverse(host.capacity), host.id));
    let max_capacity = ranked.first().map_or(0, |host| host.capacity);
    let capable = ranked.iter().filter(|host| host.capacity * 2 >= max_capacity).count();
    let min_count = capable.min(MIN_GATHERERS);
    let mut total_rate = 0.0;
    let mut gatherers = Vec::new();
    for host in ranked {
        if gatherers.len() >= min_count && total_rate >= query_rate {
            break;
        }
        let capacity = if host.capacity == 0 { DEFAULT_CAPACITY } else { f64::from(host.capacity) };
        total_rate += QUERY_RATE * capacity / DEFAULT_CAPACITY;
        gatherers.push(host.id);
    }
    gatherers
}

/// The order in which a host asks the gatherers of one zone: each once, at random, before any is
/// asked again.
///
/// Handles bursts of queries, and gatherers that have stalled. With independent random choices a
/// burst often goes to one gatherer, and a stalled one may stay unnoticed for many queries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GathererOrder {
    /// The gatherers that were asked in the current pass.
    asked: SmallVec<[SocketAddr; 8]>,
}

impl GathererOrder {
    /// Selects the gatherer for the next query; `None` if there are none.
    pub fn select(&self, gatherers: &[SocketAddr], rng: &mut impl Rng) -> Option<SocketAddr> {
        let not_asked = gatherers.iter().filter(|gatherer| !self.asked.contains(gatherer));
        let not_asked: SmallVec<[SocketAddr; 8]> = not_asked.copied().collect();
        let candidates = if not_asked.is_empty() { gatherers } else { &not_asked };
        candidates.get(rng.random_range(0..candidates.len().max(1))).copied()
    }

    /// Records that a gatherer is asked. Its second turn begins a new pass.
    pub fn record(&mut self, gatherer: SocketAddr) {
        if self.asked.contains(&gatherer) {
            self.asked.clear();
        }
        self.asked.push(gatherer);
    }
}
