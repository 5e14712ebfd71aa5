//! Selection of the zone that searches a shard.

use std::time::Duration;

use hawthorn_types::IndexVersion;
use hawthorn_types::ShardKey;

use super::Options;
use super::PlanInput;
use super::version::usable;
use super::version::versions;
use crate::table::ReplicaOption;
use crate::table::ShardRecord;

/// Chooses the zone that searches `shard`.
///
/// The local zone is preferred: it costs no round trip between zones, and a
/// partition cannot cut it off. Handles replicas of the local zone falling behind
/// while those of another zone have spare capacity: the other zone is chosen when
/// the local one cannot meet the deadline, or else with a probability that grows
/// with the difference. All fronts read the same lagging reports; if each shifted
/// all its pieces at once, the queue would only move to the other zone. Shifting a
/// part lets the next report correct it.
pub(super) fn choose_option<'a>(
    input: &'a PlanInput<'_>,
    shard: &'a ShardRecord,
    version: IndexVersion,
    options: &Options,
) -> Option<&'a ReplicaOption> {
    let mut local = None;
    let mut best = None;
    for option in usable(input, shard) {
        if !versions(input, shard, option).contains(&version) {
            continue;
        }
        let is_local = option.zone == input.local_zone;
        let cost =
            option.expected_wait + if is_local { Duration::ZERO } else { options.cross_zone_cost };
        if is_local {
            local = Some((cost, option));
        }
        if best.is_none_or(|(best_cost, _)| cost < best_cost) {
            best = Some((cost, option));
        }
    }
    let (Some((local_cost, local)), Some((best_cost, best))) = (local, best) else {
        return best.map(|(_, option)| option);
    };
    let gain = local_cost.saturating_sub(best_cost);
    if gain <= options.shift_margin {
        return Some(local);
    }
    let misses_deadline = local_cost >= input.remaining && best_cost < input.remaining;
    let shift = misses_deadline || is_selected(input.random, shard.shard, gain, local_cost);
    Some(if shift { best } else { local })
}

/// Returns true with probability `gain / cost`.
fn is_selected(random: u64, shard: ShardKey, gain: Duration, cost: Duration) -> bool {
    // The splitmix64 finalizer decorrelates neighbouring shards.
    let mut hash = random ^ u64::from(shard.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let fraction = (hash >> 32) as f64 / f64::from(u32::MAX);
    fraction * cost.as_secs_f64() < gain.as_secs_f64()
}
