//! Replica selection.
//!
//! Replicas differ in speed and have few slots each. A replica with a free slot is often free
//! because it is slow, so choosing by free slots alone sends it too much work. A piece is assigned
//! only when a slot is free, so that nothing queues at a target and the choice uses the most
//! recent measurements.

use hawthorn_types::TargetKey;

/// A piece waits for a busy, faster replica if the free one takes more than this many times the
/// faster one's wait and service time together. 2: the estimates are averages of a few requests.
const SLOW_MARGIN: u64 = 2;

/// A replica that may get the piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The target.
    pub target: TargetKey,
    /// Average service time, in microseconds.
    pub latency: u64,
    /// Slots in use.
    pub in_use: u16,
    /// Slots that may be in use.
    pub limit: u16,
    /// Time until it may be sent to, in microseconds; 0 is now.
    pub available_in: u64,
    /// Whether its last state report listed the version. Reports lag, so a target without it
    /// ranks lower but is not excluded.
    pub lists_version: bool,
    /// Whether an attempt of this piece is in flight there.
    pub attempted: bool,
}

impl Candidate {
    fn is_available(&self) -> bool {
        self.available_in == 0 && self.in_use < self.limit
    }

    /// Sort key; smaller is better. Attempts in flight lengthen the service time, as the slots of
    /// a target share its processor and disk.
    fn rank(&self) -> (bool, bool, u64) {
        (self.attempted, !self.lists_version, self.latency * (u64::from(self.in_use) + 1))
    }
}

/// The outcome of replica selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Send the piece to this target.
    Send(TargetKey),
    /// Wait: no replica is available.
    Wait,
    /// Wait for at most this many microseconds: the available replicas are so slow that one that
    /// is busy now is expected to answer sooner.
    WaitUpTo(u64),
}

/// Inputs of replica selection besides the candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time that the piece has waited, in microseconds.
    pub waited: u64,
    /// Whether this is a hedge, for which a slow replica is better than none.
    pub hedge: bool,
    /// Random number that decides between candidates of equal rank.
    pub tie_break: u64,
}

/// Selects a replica for a piece.
pub fn choose(candidates: &[Candidate], options: Options) -> Outcome {
    let count = candidates.len();
    let start = if count == 0 { 0 } else { (options.tie_break % count as u64) as usize };
    let rotated = candidates[start..].iter().chain(&candidates[..start]);
    let Some(best) = rotated.filter(|each| each.is_available()).min_by_key(|each| each.rank())
    else {
        return Outcome::Wait;
    };
    if options.hedge {
        return Outcome::Send(best.target);
    }
    match worthwhile_wait(candidates, best) {
        Some(limit) if options.waited < limit => Outcome::WaitUpTo(limit - options.waited),
        _ => Outcome::Send(best.target),
    }
}

/// How long to wait for a busy, faster replica, if at all. Bounded by half of the slow one's
/// service time, as the fast replica may hang.
fn worthwhile_wait(candidates: &[Candidate], best: &Candidate) -> Option<u64> {
    let busy = candidates.iter().filter(|each| each.available_in == 0 && each.limit > 0);
    let fast = busy.filter(|each| !each.is_available()).min_by_key(|each| each.latency)?;
    let wait = fast.latency / u64::from(fast.limit);
    let fast_total = wait + fast.latency;
    (best.latency > SLOW_MARGIN * fast_total).then_some(best.latency / 2)
}
