//! Which zone searches a shard.

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
/// Load: one zone's replicas fall behind while its fronts see all their
/// traffic. The own zone is taken by default: no round trip between zones, and
/// a partition cuts nothing off. Another zone is taken when the own one cannot
/// make the deadline, or with a chance that grows with the difference. All
/// fronts read the same lagging reports; if each moved all its work the queue
/// would only change places, so a part moves and the next report corrects.
pub(super) fn choose_option<'a>(
    input: &'a PlanInput<'_>,
    shard: &'a ShardRecord,
    version: IndexVersion,
    options: &Options,
) -> Option<&'a ReplicaOption> {
    let mut own = None;
    let mut best = None;
    for option in usable(input, shard) {
        if !versions(input, shard, option).contains(&version) {
            continue;
        }
        let is_own = option.zone == input.local_zone;
        let cost =
            option.expected_wait + if is_own { Duration::ZERO } else { options.cross_zone_cost };
        if is_own {
            own = Some((cost, option));
        }
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, option));
        }
    }
    let (Some((own_cost, own)), Some((best_cost, best))) = (own, best) else {
        return best.map(|(_, option)| option);
    };
    let gain = own_cost.saturating_sub(best_cost);
    if gain <= options.shift_margin {
        return Some(own);
    }
    let hopeless = own_cost >= input.remaining && best_cost < input.remaining;
    let shift = hopeless || is_drawn(input.random, shard.shard, gain, own_cost);
    Some(if shift { best } else { own })
}

/// True with the chance `gain / cost`.
fn is_drawn(random: u64, shard: ShardKey, gain: Duration, cost: Duration) -> bool {
    // The finalizer of splitmix64 turns neighbouring shards into unrelated numbers.
    let mut mixed = random ^ u64::from(shard.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let unit = (mixed >> 32) as f64 / f64::from(u32::MAX);
    unit * cost.as_secs_f64() < gain.as_secs_f64()
}
