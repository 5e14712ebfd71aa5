//! Plans a query: selects the index version and an owner for each piece.
//!
//! Pieces are disjoint by construction, so their totals can be summed. Keys that
//! no owner can search at the version are listed as missing with a reason.

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

/// Parameters of zone selection.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Cost of a piece in another zone in addition to the wait there: the round
    /// trip between zones.
    pub cross_zone_cost: Duration,
    /// Minimum advantage of another zone before pieces are sent there. Wait
    /// reports lag by about one heartbeat; smaller differences are noise.
    pub shift_margin: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { cross_zone_cost: Duration::from_millis(3), shift_margin: Duration::from_millis(2) }
    }
}

/// An owner to which this query has already sent a piece of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TriedOwner {
    /// The shard.
    pub shard: ShardKey,
    /// The owner.
    pub host: HostKey,
}

/// Versions that an owner reported for a shard, more recent than the table.
#[derive(Clone, Debug)]
pub struct ReportedVersions {
    /// The shard.
    pub shard: ShardKey,
    /// The owner.
    pub host: HostKey,
    /// All versions held by its targets.
    pub versions: SmallVec<[IndexVersion; 2]>,
}

/// Which versions a plan may choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum VersionChoice {
    /// The newest of the versions with the highest coverage.
    #[default]
    Any,
    /// As `Any`, among versions newer than this one.
    NewerThan(IndexVersion),
    /// Exactly this version.
    Exactly(IndexVersion),
}

/// Input of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The shards of the service.
    pub table: &'a ShardTable,
    /// The keys to search.
    pub range: KeyRange,
    /// The zone of this front.
    pub local_zone: ZoneKey,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Which versions may be chosen.
    pub version: VersionChoice,
    /// Owners that cannot be reached.
    pub lost: &'a [HostKey],
    /// Owners already tried, by shard.
    pub tried: &'a [TriedOwner],
    /// Versions reported by owners since the table was built, ordered by shard
    /// and host.
    pub reported: &'a [ReportedVersions],
    /// A random number; selects the shards that shift to another zone.
    pub random: u64,
}

impl<'a> PlanInput<'a> {
    /// Input of the first plan for `range`, without failed attempts or reported versions.
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
            reported: &[],
            random: 0,
        }
    }
}

/// The part of a query that one shard is to search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedPiece {
    /// The shard.
    pub shard: ShardKey,
    /// The zone whose replicas search it.
    pub zone: ZoneKey,
    /// The keys to search.
    pub range: KeyRange,
}

/// All pieces of a query for one owner, sent in one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerBatch {
    /// The owner.
    pub host: HostKey,
    /// The pieces, ordered by range.
    pub pieces: Vec<PlannedPiece>,
}

/// A plan. Reuse it with [`plan_into`] to avoid allocations.
#[derive(Clone, Debug, Default)]
pub struct QueryPlan {
    /// The index version of all pieces; `None` when nothing can be searched.
    pub version: Option<IndexVersion>,
    /// One batch for each owner.
    pub batches: SmallVec<[OwnerBatch; 8]>,
    /// Ranges that cannot be searched at the version, ascending.
    pub missing: Vec<MissingRange>,
    free_buffers: Vec<Vec<PlannedPiece>>,
    tally: SmallVec<[VersionTally; 4]>,
}

impl QueryPlan {
    /// Number of pieces.
    pub fn piece_count(&self) -> usize {
        self.batches.iter().map(|batch| batch.pieces.len()).sum()
    }

    /// Number of keys to search.
    pub fn planned_keys(&self) -> u64 {
        let pieces = self.batches.iter().flat_map(|batch| &batch.pieces);
        pieces.map(|piece| u64::from(piece.range.len())).sum()
    }

    fn reset(&mut self) {
        for batch in self.batches.drain(..) {
            let mut pieces = batch.pieces;
            pieces.clear();
            self.free_buffers.push(pieces);
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
        let mut pieces = self.free_buffers.pop().unwrap_or_default();
        pieces.push(piece);
        self.batches.push(OwnerBatch { host, pieces });
    }
}

/// Creates a plan.
pub fn plan(input: &PlanInput<'_>, options: &Options) -> QueryPlan {
    let mut plan = QueryPlan::default();
    plan_into(input, &mut plan, options);
    plan
}

/// Creates a plan in `plan`, reusing its buffers.
pub fn plan_into(input: &PlanInput<'_>, plan: &mut QueryPlan, options: &Options) {
    plan.reset();
    plan.version = choose_version(input, &mut plan.tally);
    let mut cursor = input.range.start;
    if let Some(version) = plan.version {
        for shard in input.table.candidates(input.range) {
            cursor = assign_shard(input, plan, shard, version, cursor, options);
        }
    }
    assign_gap(input, plan, KeyRange::new(cursor, input.range.end), options);
}

/// Assigns the keys of `shard` from `cursor` on, and returns the new cursor.
fn assign_shard(
    input: &PlanInput<'_>,
    plan: &mut QueryPlan,
    shard: &ShardRecord,
    version: IndexVersion,
    cursor: u32,
    options: &Options,
) -> u32 {
    let mut cursor = cursor;
    let uncovered = shard.range.intersect(KeyRange::new(cursor, input.range.end));
    if uncovered.is_empty() {
        return cursor;
    }
    let Some(option) = choose_option(input, shard, version, options) else {
        return cursor;
    };
    for held in shard.held.ranges() {
        let range = held.intersect(uncovered);
        if range.is_empty() {
            continue;
        }
        assign_gap(input, plan, KeyRange::new(cursor, range.start), options);
        plan.push(option.owner, PlannedPiece { shard: shard.shard, zone: option.zone, range });
        cursor = range.end;
    }
    cursor
}

/// Assigns keys of `gap` to shards that hold them outside their nominal range; the
/// others are missing.
fn assign_gap(input: &PlanInput<'_>, plan: &mut QueryPlan, gap: KeyRange, options: &Options) {
    if gap.is_empty() {
        return;
    }
    let mut remaining = RangeSet::from(gap);
    if let Some(version) = plan.version {
        for shard in input.table.moved() {
            let held = shard.held.clip(gap);
            let Some(option) = choose_option(input, shard, version, options) else {
                continue;
            };
            for &part in held.ranges() {
                for &range in remaining.clip(part).ranges() {
                    let piece = PlannedPiece { shard: shard.shard, zone: option.zone, range };
                    plan.push(option.owner, piece);
                }
                remaining.remove(part);
            }
        }
    }
    for &range in remaining.ranges() {
        explain(input, plan, range);
    }
}
