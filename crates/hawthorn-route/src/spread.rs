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
use crate::place;
use crate::place::PlaceView;
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
pub enum ShardWay {
    /// From a target of this host's own zone, or from one that is alone.
    Near(TargetKey),
    /// From this target, and as well from any of these other zones.
    Away(TargetKey, ZoneNames),
    /// No target takes work.
    Nowhere,
}

/// A query's shards by their place in its list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Where each is best had.
    pub ways: Vec<ShardWay>,
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
pub fn spread(
    view: PlaceView<'_>,
    rule: &GatherRule,
    lots: &mut impl Rng,
    options: &place::Options,
) -> Outcome {
    let ways = rule.shards.iter().map(|shard| way(view, shard, lots, options)).collect();
    Outcome { ways }
}

fn way(
    view: PlaceView<'_>,
    shard: &str,
    lots: &mut impl Rng,
    options: &place::Options,
) -> ShardWay {
    let PlaceView { registry, zone, .. } = view;
    let Some(best) = place::place(view, shard, &[], lots, options) else {
        return ShardWay::Nowhere;
    };
    let Some(best_zone) = registry.get(best).map(|state| &state.entry.zone) else {
        return ShardWay::Near(best);
    };
    if **best_zone == *zone {
        return ShardWay::Near(best);
    }
    let mut zones = ZoneNames::new();
    if view.working(shard).any(|state| state.entry.zone == *best_zone) {
        zones.push(Rc::clone(best_zone));
    }
    for other in view.working(shard).map(|state| &state.entry.zone) {
        if **other != *zone && !zones.contains(other) {
            zones.push(Rc::clone(other));
        }
    }
    if zones.is_empty() { ShardWay::Near(best) } else { ShardWay::Away(best, zones) }
}

impl Outcome {
    /// Enough shards have a target for an answer to be possible.
    ///
    /// Failure: targets work for an answer that cannot be given, and the caller
    /// waits for it. It is refused at once instead.
    pub fn can_answer(&self, rule: &GatherRule) -> bool {
        let there = self.ways.len() - self.lost();
        there as f64 >= rule.least_share * self.ways.len() as f64 && there > 0
    }

    /// Shards without any target.
    fn lost(&self) -> usize {
        self.ways.iter().filter(|way| **way == ShardWay::Nowhere).count()
    }

    /// How many more shards the answer may do without, of the `spare` that it may
    /// in all: those without a target are lost already.
    ///
    /// Failure: a shard has no target left, two more are skipped, and with the
    /// next that is late the query fails, though all of those skipped were there.
    pub fn spare_left(&self, spare: usize) -> usize {
        spare.saturating_sub(self.lost())
    }

    /// The target that a shard is best had from.
    pub fn target(&self, place: u16) -> Option<TargetKey> {
        match self.ways.get(usize::from(place))? {
            ShardWay::Near(key) | ShardWay::Away(key, _) => Some(*key),
            ShardWay::Nowhere => None,
        }
    }

    /// Which shards a host of another zone gathers, while one is to be had
    /// there; all others are asked for here.
    pub fn hand_over(
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
    pub fn hand_over_all(
        &self,
        zones: &[Rc<str>],
        mut has_host: impl FnMut(&str) -> bool,
        options: &Options,
    ) -> Vec<ZoneShards> {
        let mut parts = self.hand_over(&mut has_host, options);
        let handed_over = |place: &u16| parts.iter().any(|part| part.shards.contains(place));
        let places = (0_u16..).zip(&self.ways).filter(|(_, way)| **way != ShardWay::Nowhere);
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
        (0_u16..).zip(&self.ways).filter_map(|(place, way)| match way {
            ShardWay::Away(_, zones) => Some((place, zones)),
            ShardWay::Near(_) | ShardWay::Nowhere => None,
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
