//! Reasons for keys that cannot be searched.

use hawthorn_types::KeyRange;
use hawthorn_types::MissingRange;
use hawthorn_types::MissingReason;
use hawthorn_types::RangeSet;

use super::PlanInput;
use super::QueryPlan;
use super::version::usable;
use super::version::versions;
use crate::table::ReplicaOption;
use crate::table::ShardRecord;

/// Adds `range` to the missing ranges, split where the reason changes.
pub(super) fn explain(input: &PlanInput<'_>, plan: &mut QueryPlan, range: KeyRange) {
    let mut remaining = RangeSet::from(range);
    for shard in input.table.candidates(range) {
        let part = shard.range.intersect(range);
        if part.is_empty() {
            continue;
        }
        let reason = reason(input, shard);
        for &range in remaining.clip(part).ranges() {
            plan.missing.push(MissingRange { range, reason });
        }
        remaining.remove(part);
    }
    let unassigned = remaining.ranges().iter();
    plan.missing
        .extend(unassigned.map(|&range| MissingRange { range, reason: MissingReason::NoReplica }));
    plan.missing.sort_by_key(|missing| missing.range);
}

fn reason(input: &PlanInput<'_>, shard: &ShardRecord) -> MissingReason {
    let holds = |option: &&ReplicaOption| !versions(input, shard, option).is_empty();
    if usable(input, shard).any(|option| holds(&option)) {
        return MissingReason::VersionMissing;
    }
    if shard.options.iter().any(|option| input.lost.contains(&option.owner)) {
        return MissingReason::OwnerUnreachable;
    }
    match shard.options.iter().any(|option| holds(&option)) {
        true => MissingReason::Unreachable,
        false => MissingReason::NoReplica,
    }
}
