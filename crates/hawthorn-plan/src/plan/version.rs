//! Which version a plan searches, and who holds it.

use hawthorn_types::IndexVersion;
use smallvec::SmallVec;

use super::PlanInput;
use super::TriedOwner;
use super::VersionChoice;
use crate::table::ReplicaOption;
use crate::table::ShardRecord;

/// How many keys a version covers.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionTally {
    version: IndexVersion,
    keys: u64,
    counted: u32,
}

/// Chooses the one version: the newest of those that cover most keys.
///
/// Load: an index version being published reaches targets over seconds. The
/// newest alone would answer from a handful of shards; mixing would break the
/// one snapshot. Coverage decides first, age second.
pub(super) fn choose_version(
    input: &PlanInput<'_>,
    tally: &mut SmallVec<[VersionTally; 4]>,
) -> Option<IndexVersion> {
    if let VersionChoice::Exactly(version) = input.version {
        return Some(version);
    }
    for (number, shard) in (1..).zip(input.table.candidates(input.range)) {
        let keys = u64::from(shard.range.intersect(input.range).len());
        if keys == 0 {
            continue;
        }
        for option in usable(input, shard) {
            for &version in versions(input, shard, option) {
                count(tally, version, keys, number);
            }
        }
    }
    let allowed = tally.iter().filter(|entry| is_allowed(input.version, entry.version));
    allowed.max_by_key(|entry| (entry.keys, entry.version)).map(|entry| entry.version)
}

/// Counts `keys` for `version`, once for each shard `number`.
fn count(tally: &mut SmallVec<[VersionTally; 4]>, version: IndexVersion, keys: u64, number: u32) {
    match tally.iter_mut().find(|entry| entry.version == version) {
        Some(entry) if entry.counted == number => {}
        Some(entry) => {
            entry.keys += keys;
            entry.counted = number;
        }
        None => tally.push(VersionTally { version, keys, counted: number }),
    }
}

fn is_allowed(choice: VersionChoice, version: IndexVersion) -> bool {
    match choice {
        VersionChoice::Any => true,
        VersionChoice::NewerThan(least) => version > least,
        VersionChoice::Exactly(exact) => version == exact,
    }
}

pub(super) fn usable<'a>(
    input: &'a PlanInput<'_>,
    shard: &'a ShardRecord,
) -> impl Iterator<Item = &'a ReplicaOption> {
    shard.options.iter().filter(move |option| {
        let tried = TriedOwner { shard: shard.shard, host: option.owner };
        !input.lost.contains(&option.owner) && !input.tried.contains(&tried)
    })
}

/// What the owner said last, or else what the table says.
pub(super) fn versions<'a>(
    input: &'a PlanInput<'_>,
    shard: &ShardRecord,
    option: &'a ReplicaOption,
) -> &'a [IndexVersion] {
    let owner = (shard.shard, option.owner);
    let said = input.learned.binary_search_by_key(&owner, |learned| (learned.shard, learned.host));
    said.map_or(&option.versions, |index| &input.learned[index].versions)
}
