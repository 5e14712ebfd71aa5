//! Selection of the index version, and the owners that hold it.

use hawthorn_types::IndexVersion;
use smallvec::SmallVec;

use super::PlanInput;
use super::TriedOwner;
use super::VersionChoice;
use crate::table::ReplicaOption;
use crate::table::ShardRecord;

/// Number of keys that a version covers.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionTally {
    version: IndexVersion,
    keys: u64,
    /// Ordinal of the last shard counted, so that its replicas count once.
    last_shard: u32,
}

/// Chooses the newest of the versions that cover the most keys.
///
/// A newly published index version takes seconds to reach all targets. Always
/// choosing the newest would answer from few shards, and mixing versions would
/// break the snapshot. Coverage therefore takes precedence over age.
pub(super) fn choose_version(
    input: &PlanInput<'_>,
    tally: &mut SmallVec<[VersionTally; 4]>,
) -> Option<IndexVersion> {
    if let VersionChoice::Exactly(version) = input.version {
        return Some(version);
    }
    for (ordinal, shard) in (1..).zip(input.table.candidates(input.range)) {
        let keys = u64::from(shard.range.intersect(input.range).len());
        if keys == 0 {
            continue;
        }
        for option in usable(input, shard) {
            for &version in versions(input, shard, option) {
                count(tally, version, keys, ordinal);
            }
        }
    }
    let allowed = tally.iter().filter(|entry| is_allowed(input.version, entry.version));
    allowed.max_by_key(|entry| (entry.keys, entry.version)).map(|entry| entry.version)
}

/// Adds `keys` to the tally of `version`, once for each shard `ordinal`.
fn count(tally: &mut SmallVec<[VersionTally; 4]>, version: IndexVersion, keys: u64, ordinal: u32) {
    match tally.iter_mut().find(|entry| entry.version == version) {
        Some(entry) if entry.last_shard == ordinal => {}
        Some(entry) => {
            entry.keys += keys;
            entry.last_shard = ordinal;
        }
        None => tally.push(VersionTally { version, keys, last_shard: ordinal }),
    }
}

fn is_allowed(choice: VersionChoice, version: IndexVersion) -> bool {
    match choice {
        VersionChoice::Any => true,
        VersionChoice::NewerThan(bound) => version > bound,
        VersionChoice::Exactly(exact) => version == exact,
    }
}

/// The options of `shard` whose owners are reachable and not yet tried.
pub(super) fn usable<'a>(
    input: &'a PlanInput<'_>,
    shard: &'a ShardRecord,
) -> impl Iterator<Item = &'a ReplicaOption> {
    shard.options.iter().filter(move |option| {
        let tried = TriedOwner { shard: shard.shard, host: option.owner };
        !input.lost.contains(&option.owner) && !input.tried.contains(&tried)
    })
}

/// The versions last reported by the owner, or else those in the table.
pub(super) fn versions<'a>(
    input: &'a PlanInput<'_>,
    shard: &ShardRecord,
    option: &'a ReplicaOption,
) -> &'a [IndexVersion] {
    let owner = (shard.shard, option.owner);
    let position =
        input.reported.binary_search_by_key(&owner, |reported| (reported.shard, reported.host));
    position.map_or(&option.versions, |index| &input.reported[index].versions)
}
