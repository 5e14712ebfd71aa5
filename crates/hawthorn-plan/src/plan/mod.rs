//! Plans a query: one index version, and one owner for each piece.
//!
//! Pieces are disjoint by construction, so totals may be added up; a key that
//! no one can search at the version is listed as missing with its reason.

mod missing;
mod version;
mod zone;

use std::time::Duration;

use hawthorn_types::HostKey;
use hawthorn_types::IndexVersion;
use hawthorn_types::KeyRange;
use hawthorn_types::MissingRange;
use hawthorn_types::RangeSet;
use hawthorn_types::ShardKey;
use hawthorn_types::ZoneKey;
use smallvec::SmallVec;

use self::missing::explain;
use self::version::VersionTally;
use self::version::choose_version;
use self::zone::choose_option;
use crate::table::ShardRecord;
use crate::table::ShardTable;

/// How a zone is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// What a piece in another zone costs beyond the wait there: the round
    /// trip between zones.
    pub cross_zone_cost: Duration,
    /// How much better another zone must look before work is sent there.
    /// Reports lag by about a heartbeat; smaller differences are noise.
    pub shift_margin: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { cross_zone_cost: Duration::from_millis(3), shift_margin: Duration::from_millis(2) }
    }
}

/// An owner that has already failed to search a shard for this query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TriedOwner {
    /// The shard.
    pub shard: ShardKey,
    /// The owner.
    pub host: HostKey,
}

/// What an owner said a shard holds now, newer than the table.
#[derive(Clone, Debug)]
pub struct LearnedVersions {
    /// The shard.
    pub shard: ShardKey,
    /// The owner.
    pub host: HostKey,
    /// All versions that its targets hold.
    pub versions: SmallVec<[IndexVersion; 2]>,
}

/// Which versions a plan may choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum VersionChoice {
    /// The newest of those that cover most.
    #[default]
    Any,
    /// As `Any`, of those newer than this.
    NewerThan(IndexVersion),
    /// This one.
    Exactly(IndexVersion),
}

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The shards of the service.
    pub table: &'a ShardTable,
    /// The keys asked for.
    pub range: KeyRange,
    /// The zone of this front.
    pub local_zone: ZoneKey,
    /// How long the caller still waits.
    pub remaining: Duration,
    /// Which versions may be chosen.
    pub version: VersionChoice,
    /// Owners that cannot be reached.
    pub lost: &'a [HostKey],
    /// Owners that have failed with a shard.
    pub tried: &'a [TriedOwner],
    /// What owners said of versions since the table was made, ascending by
    /// shard and host.
    pub learned: &'a [LearnedVersions],
    /// Any random number; spreads work that shifts between zones.
    pub random: u64,
}

impl<'a> PlanInput<'a> {
    /// A first plan for `range`, with nothing tried and nothing learned.
    pub fn first(
        table: &'a ShardTable,
        range: KeyRange,
        local_zone: ZoneKey,
        remaining: Duration,
    ) -> Self {
        Self {
            table,
            range,
            local_zone,
            remaining,
            version: VersionChoice::Any,
            lost: &[],
            tried: &[],
            learned: &[],
            random: 0,
        }
    }
}

/// A part of the query for one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedPiece {
    /// The shard.
    pub shard: ShardKey,
    /// The zone whose replicas are to search it.
    pub zone: ZoneKey,
    /// The keys to search.
    pub range: KeyRange,
}

/// Everything that goes to one owner in one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerBatch {
    /// The owner.
    pub host: HostKey,
    /// The pieces, ascending by range.
    pub pieces: Vec<PlannedPiece>,
}

/// A plan; kept and filled again by [`plan_into`] it stops allocating.
#[derive(Clone, Debug, Default)]
pub struct QueryPlan {
    /// The one version; `None` when nothing can be searched.
    pub version: Option<IndexVersion>,
    /// One batch for each owner.
    pub batches: SmallVec<[OwnerBatch; 8]>,
    /// What cannot be searched at the version, ascending.
    pub missing: Vec<MissingRange>,
    spare: Vec<Vec<PlannedPiece>>,
    tally: SmallVec<[VersionTally; 4]>,
}

impl QueryPlan {
    /// How many pieces are to be sent.
    pub fn piece_count(&self) -> usize {
        self.batches.iter().map(|batch| batch.pieces.len()).sum()
    }

    /// How many keys are to be searched.
    pub fn planned_keys(&self) -> u64 {
        let pieces = self.batches.iter().flat_map(|batch| &batch.pieces);
        pieces.map(|piece| u64::from(piece.range.len())).sum()
    }

    fn reset(&mut self) {
        for batch in self.batches.drain(..) {
            let mut pieces = batch.pieces;
            pieces.clear();
            self.spare.push(pieces);
        }
        self.version = None;
        self.missing.clear();
        self.tally.clear();
    }

    fn push(&mut self, host: HostKey, piece: PlannedPiece) {
        if let Some(batch) = self.batches.iter_mut().find(|batch| batch.host == host) {
            batch.pieces.push(piece);
            return;
        }
        let mut pieces = self.spare.pop().unwrap_or_default();
        pieces.push(piece);
        self.batches.push(OwnerBatch { host, pieces });
    }
}

/// Plans into a new [`QueryPlan`].
pub fn plan(input: &PlanInput<'_>, options: &Options) -> QueryPlan {
    let mut plan = QueryPlan::default();
    plan_into(input, &mut plan, options);
    plan
}

/// Plans into `plan`, whose buffers are used again.
pub fn plan_into(input: &PlanInput<'_>, plan: &mut QueryPlan, options: &Options) {
    plan.reset();
    plan.version = choose_version(input, &mut plan.tally);
    let mut cursor = input.range.start;
    if let Some(version) = plan.version {
        for shard in input.table.candidates(input.range) {
            cursor = place_shard(input, plan, shard, version, cursor, options);
        }
    }
    fill_gap(input, plan, KeyRange::new(cursor, input.range.end), options);
}

/// Places what `shard` adds beyond `cursor`, and returns the new cursor.
fn place_shard(
    input: &PlanInput<'_>,
    plan: &mut QueryPlan,
    shard: &ShardRecord,
    version: IndexVersion,
    cursor: u32,
    options: &Options,
) -> u32 {
    let mut cursor = cursor;
    let window = shard.range.intersect(KeyRange::new(cursor, input.range.end));
    if window.is_empty() {
        return cursor;
    }
    let Some(option) = choose_option(input, shard, version, options) else {
        return cursor;
    };
    for held in shard.held.ranges() {
        let range = held.intersect(window);
        if range.is_empty() {
            continue;
        }
        fill_gap(input, plan, KeyRange::new(cursor, range.start), options);
        plan.push(option.owner, PlannedPiece { shard: shard.shard, zone: option.zone, range });
        cursor = range.end;
    }
    cursor
}

/// Places keys of `gap` that shards hold beyond their nominal range, and lists the rest.
fn fill_gap(input: &PlanInput<'_>, plan: &mut QueryPlan, gap: KeyRange, options: &Options) {
    if gap.is_empty() {
        return;
    }
    let mut rest = RangeSet::from(gap);
    if let Some(version) = plan.version {
        for shard in input.table.moved() {
            let held = shard.held.clip(gap);
            let Some(option) = choose_option(input, shard, version, options) else {
                continue;
            };
            for &part in held.ranges() {
                for &range in rest.clip(part).ranges() {
                    let piece = PlannedPiece { shard: shard.shard, zone: option.zone, range };
                    plan.push(option.owner, piece);
                }
                rest.remove(part);
            }
        }
    }
    for &range in rest.ranges() {
        explain(input, plan, range);
    }
}
