//! Plans where the part of each shard of a query is requested.
//!
//! Handles queries over tens of shards whose targets are in several zones, on hosts with little
//! processor time. Requesting each part directly would cost several times the cross-zone traffic
//! of the merged records, and every host would open connections to every target. Shards whose
//! best target is in another zone are therefore delegated to one host there. Where only a few
//! hosts of a zone gather, the others delegate all shards of their queries. Fewer than
//! `least_shards` are requested directly, because a delegated request with its reply is then as
//! large as the parts themselves.

use std::collections::HashMap;
use std::rc::Rc;

use rand::Rng;
use serde::Deserialize;
use smallvec::SmallVec;

use crate::document::GatherRule;
use crate::placement;
use crate::placement::PlacementView;
use crate::registry::TargetKey;

/// Settings of delegation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Whether shards are delegated to peers.
    pub on: bool,
    /// Whether a peer that fails its liveness probe is replaced by another.
    pub replaces_silent: bool,
    /// Minimum number of shards that are delegated to a zone.
    pub least_shards: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { on: true, replaces_silent: true, least_shards: 3 }
    }
}

/// Zones in which a shard has an available target, that of the best target first.
pub type ZoneNames = SmallVec<[Rc<str>; 2]>;

/// The best source of one shard's part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardSource {
    /// A target to which this host sends the request itself: it is in this host's zone, or no
    /// target in another zone is available.
    Direct(TargetKey),
    /// The best target, and all zones other than this host's that have an available target.
    Remote(TargetKey, ZoneNames),
    /// No target accepts requests.
    Unavailable,
}

/// The sources of all shards of a query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScatterPlan {
    /// The source of each shard, by its index in the query.
    pub sources: Vec<ShardSource>,
}

/// Shards that are delegated to a host of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneShards {
    /// The zone.
    pub zone: Rc<str>,
    /// Indexes of the shards in the query, in ascending order.
    pub shards: Vec<u16>,
}

/// Selects the best source of each shard of a query.
pub fn plan(
    view: PlacementView<'_>,
    rule: &GatherRule,
    rng: &mut impl Rng,
    options: &placement::Options,
) -> ScatterPlan {
    let sources = rule.shards.iter().map(|shard| source(view, shard, rng, options)).collect();
    ScatterPlan { sources }
}

fn source(
    view: PlacementView<'_>,
    shard: &str,
    rng: &mut impl Rng,
    options: &placement::Options,
) -> ShardSource {
    let PlacementView { registry, zone, .. } = view;
    let Some(best) = placement::select_target(view, shard, &[], rng, options) else {
        return ShardSource::Unavailable;
    };
    let Some(best_zone) = registry.get(best).map(|state| &state.entry.zone) else {
        return ShardSource::Direct(best);
    };
    if **best_zone == *zone {
        return ShardSource::Direct(best);
    }
    let mut zones = ZoneNames::new();
    if view.available_targets(shard).any(|state| state.entry.zone == *best_zone) {
        zones.push(Rc::clone(best_zone));
    }
    for other in view.available_targets(shard).map(|state| &state.entry.zone) {
        if **other != *zone && !zones.contains(other) {
            zones.push(Rc::clone(other));
        }
    }
    if zones.is_empty() { ShardSource::Direct(best) } else { ShardSource::Remote(best, zones) }
}

impl ScatterPlan {
    /// Whether enough shards have a target for an answer to be possible.
    ///
    /// A query that cannot be answered is refused at once. Otherwise targets would execute
    /// requests for it, and its caller would wait for the failure.
    pub fn can_answer(&self, rule: &GatherRule) -> bool {
        let available = self.sources.len() - self.unavailable();
        available as f64 >= rule.min_share * self.sources.len() as f64 && available > 0
    }

    /// The number of shards without any target.
    fn unavailable(&self) -> usize {
        self.sources.iter().filter(|source| **source == ShardSource::Unavailable).count()
    }

    /// How many of the shards that have a target may be missing from the answer, given
    /// `max_missing` over all shards.
    ///
    /// If a shard without a target did not count, two others could be skipped, and the query
    /// would fail with the next late part although the skipped shards were available.
    pub fn max_missing_left(&self, max_missing: usize) -> usize {
        max_missing.saturating_sub(self.unavailable())
    }

    /// The best target of a shard.
    pub fn target(&self, shard: u16) -> Option<TargetKey> {
        match self.sources.get(usize::from(shard))? {
            ShardSource::Direct(key) | ShardSource::Remote(key, _) => Some(*key),
            ShardSource::Unavailable => None,
        }
    }

    /// The shards to delegate to hosts of other zones, as far as `has_host` finds one there.
    /// This host requests all other parts itself.
    pub fn delegate(
        &self,
        mut has_host: impl FnMut(&str) -> bool,
        options: &Options,
    ) -> Vec<ZoneShards> {
        let mut remote: Vec<(u16, &ZoneNames)> = self.remote().collect();
        let mut delegated = Vec::new();
        if !options.on {
            return delegated;
        }
        while let Some(zone) = busiest_zone(&remote) {
            let in_zone = remote.iter().filter(|(_, zones)| zones.contains(&zone));
            let shards: Vec<u16> = in_zone.map(|(shard, _)| *shard).collect();
            if shards.len() < options.least_shards {
                break;
            }
            remote.retain(|(_, zones)| !zones.contains(&zone));
            if has_host(&zone) {
                delegated.push(ZoneShards { zone, shards });
            }
        }
        delegated
    }

    /// The shards to delegate if this host does not gather: those whose best source is in
    /// another zone to a host there, and the others to a host of the first of `zones` that has
    /// one, starting with this host's zone. This host requests the others itself if they are
    /// fewer than `least_shards`.
    pub fn delegate_all(
        &self,
        zones: &[Rc<str>],
        mut has_host: impl FnMut(&str) -> bool,
        options: &Options,
    ) -> Vec<ZoneShards> {
        let mut delegated = self.delegate(&mut has_host, options);
        let is_delegated = |shard: &u16| delegated.iter().any(|group| group.shards.contains(shard));
        let available =
            (0_u16..).zip(&self.sources).filter(|(_, source)| **source != ShardSource::Unavailable);
        let remaining: Vec<u16> =
            available.map(|(shard, _)| shard).filter(|shard| !is_delegated(shard)).collect();
        if remaining.len() < options.least_shards || !options.on {
            return delegated;
        }
        let Some(zone) = zones.iter().find(|zone| has_host(zone)) else { return delegated };
        match delegated.iter_mut().find(|group| group.zone == *zone) {
            Some(group) => {
                group.shards.extend(remaining);
                group.shards.sort_unstable();
            }
            None => delegated.push(ZoneShards { zone: Rc::clone(zone), shards: remaining }),
        }
        delegated
    }

    fn remote(&self) -> impl Iterator<Item = (u16, &ZoneNames)> {
        (0_u16..).zip(&self.sources).filter_map(|(shard, source)| match source {
            ShardSource::Remote(_, zones) => Some((shard, zones)),
            ShardSource::Direct(_) | ShardSource::Unavailable => None,
        })
    }
}

/// The zone in which most of the shards have a target; among equals, the one with the best
/// target of most shards.
///
/// If each shard has a target in every zone, the queries of an evacuated or slow zone are thus
/// divided among the other zones by the load of their targets.
fn busiest_zone(remote: &[(u16, &ZoneNames)]) -> Option<Rc<str>> {
    let mut counts: HashMap<&Rc<str>, (usize, usize)> = HashMap::new();
    for (_, zones) in remote {
        for (rank, zone) in zones.iter().enumerate() {
            let (shards, best) = counts.entry(zone).or_default();
            *shards += 1;
            *best += usize::from(rank == 0);
        }
    }
    counts.into_iter().max_by_key(|(zone, count)| (*count, *zone)).map(|(zone, _)| Rc::clone(zone))
}
