//! Where each shard of a query is asked for.
//!
//! The load it is for: queries over tens of shards whose targets lie in several
//! zones, on hosts that have little processor time each. The harm it prevents:
//! bytes between zones, several times what the records need, and connections
//! that every host opens to every target. Shards that are best had in another
//! zone are gathered by one host there, and where a few hosts of a zone gather
//! for all, the others hand them the whole query. The limit: fewer than
//! `least_shards` are asked for directly, as one message with its reply is as
//! many bytes as their own.

use std::collections::HashMap;
use std::rc::Rc;

use rand::Rng;
use serde::Deserialize;
use smallvec::SmallVec;

use crate::document::GatherRule;
use crate::placement;
use crate::placement::PlacementView;
use crate::registry::TargetKey;

/// Limits of handing shards over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Peers gather shards at all.
    pub on: bool,
    /// A peer that does not say that it is there is replaced by another.
    pub replaces_silent: bool,
    /// Fewer shards of one zone are asked for directly.
    pub least_shards: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { on: true, replaces_silent: true, least_shards: 3 }
    }
}

/// Zones where a shard has a target that takes work, that of the best target first.
pub type ZoneNames = SmallVec<[Rc<str>; 2]>;

/// Where one shard is best had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardSource {
    /// From a target of this host's own zone, or from one that is alone.
    Direct(TargetKey),
    /// From this target, and as well from any of these other zones.
    Remote(TargetKey, ZoneNames),
    /// No target takes work.
    Unavailable,
}

/// A query's shards by their place in its list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScatterPlan {
    /// Where each is best had.
    pub sources: Vec<ShardSource>,
}

/// Shards that a host of one zone gathers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneShards {
    /// The zone.
    pub zone: Rc<str>,
    /// By their place in the query's list, rising.
    pub shards: Vec<u16>,
}

/// Finds for each shard of a query where it is best had, once.
pub fn plan(
    view: PlacementView<'_>,
    rule: &GatherRule,
    lots: &mut impl Rng,
    options: &placement::Options,
) -> ScatterPlan {
    let ways = rule.shards.iter().map(|shard| way(view, shard, lots, options)).collect();
    ScatterPlan { sources: ways }
}

fn way(
    view: PlacementView<'_>,
    shard: &str,
    lots: &mut impl Rng,
    options: &placement::Options,
) -> ShardSource {
    let PlacementView { registry, zone, .. } = view;
    let Some(best) = placement::select_target(view, shard, &[], lots, options) else {
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
    /// Enough shards have a target for an answer to be possible.
    ///
    /// Failure: targets work for an answer that cannot be given, and the caller
    /// waits for it. It is refused at once instead.
    pub fn can_answer(&self, rule: &GatherRule) -> bool {
        let there = self.sources.len() - self.lost();
        there as f64 >= rule.min_share * self.sources.len() as f64 && there > 0
    }

    /// Shards without any target.
    fn lost(&self) -> usize {
        self.sources.iter().filter(|way| **way == ShardSource::Unavailable).count()
    }

    /// How many more shards the answer may do without, of the `spare` that it may
    /// in all: those without a target are lost already.
    ///
    /// Failure: a shard has no target left, two more are skipped, and with the
    /// next that is late the query fails, though all of those skipped were there.
    pub fn max_missing_left(&self, spare: usize) -> usize {
        spare.saturating_sub(self.lost())
    }

    /// The target that a shard is best had from.
    pub fn target(&self, place: u16) -> Option<TargetKey> {
        match self.sources.get(usize::from(place))? {
            ShardSource::Direct(key) | ShardSource::Remote(key, _) => Some(*key),
            ShardSource::Unavailable => None,
        }
    }

    /// Which shards a host of another zone gathers, while one is to be had
    /// there; all others are asked for here.
    pub fn delegate(
        &self,
        mut has_host: impl FnMut(&str) -> bool,
        options: &Options,
    ) -> Vec<ZoneShards> {
        let mut away: Vec<(u16, &ZoneNames)> = self.away().collect();
        let mut parts = Vec::new();
        if !options.on {
            return parts;
        }
        while let Some(zone) = busiest(&away) {
            let there = away.iter().filter(|(_, zones)| zones.contains(&zone));
            let shards: Vec<u16> = there.map(|(shard, _)| *shard).collect();
            if shards.len() < options.least_shards {
                break;
            }
            away.retain(|(_, zones)| !zones.contains(&zone));
            if has_host(&zone) {
                parts.push(ZoneShards { zone, shards });
            }
        }
        parts
    }

    /// All shards for peers, as this host does not gather: those that are best had in
    /// another zone for a host there, the others for a host of the first of `zones` that
    /// has one, this host's zone being the first. Too few to be worth a message are
    /// asked for here.
    pub fn delegate_all(
        &self,
        zones: &[Rc<str>],
        mut has_host: impl FnMut(&str) -> bool,
        options: &Options,
    ) -> Vec<ZoneShards> {
        let mut parts = self.delegate(&mut has_host, options);
        let handed_over = |place: &u16| parts.iter().any(|part| part.shards.contains(place));
        let places =
            (0_u16..).zip(&self.sources).filter(|(_, way)| **way != ShardSource::Unavailable);
        let rest: Vec<u16> =
            places.map(|(place, _)| place).filter(|place| !handed_over(place)).collect();
        if rest.len() < options.least_shards || !options.on {
            return parts;
        }
        let Some(zone) = zones.iter().find(|zone| has_host(zone)) else { return parts };
        match parts.iter_mut().find(|part| part.zone == *zone) {
            Some(part) => {
                part.shards.extend(rest);
                part.shards.sort_unstable();
            }
            None => parts.push(ZoneShards { zone: Rc::clone(zone), shards: rest }),
        }
        parts
    }

    fn away(&self) -> impl Iterator<Item = (u16, &ZoneNames)> {
        (0_u16..).zip(&self.sources).filter_map(|(place, way)| match way {
            ShardSource::Remote(_, zones) => Some((place, zones)),
            ShardSource::Direct(_) | ShardSource::Unavailable => None,
        })
    }
}

/// The zone where most of the shards have a target; of several, the one where most have
/// their best.
///
/// Load: each shard has a target in every zone, and a zone is evacuated or slow. Its
/// queries are divided among the other zones as their targets have room.
fn busiest(away: &[(u16, &ZoneNames)]) -> Option<Rc<str>> {
    let mut counts: HashMap<&Rc<str>, (usize, usize)> = HashMap::new();
    for (_, zones) in away {
        for (rank, zone) in zones.iter().enumerate() {
            let (shards, best) = counts.entry(zone).or_default();
            *shards += 1;
            *best += usize::from(rank == 0);
        }
    }
    counts.into_iter().max_by_key(|(zone, count)| (*count, *zone)).map(|(zone, _)| Rc::clone(zone))
}
