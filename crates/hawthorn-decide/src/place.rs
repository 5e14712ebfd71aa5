//! Which replica gets a piece.
//!
//! The load it is for: replicas of unequal speed with few slots each. The harm
//! it prevents: work handed to a slow replica because it alone has a free
//! slot, which is what makes it free. A piece is placed only when a slot is
//! free, so nothing ever waits at a target, and the choice is made with the
//! latest knowledge.

use hawthorn_types::TargetKey;

/// How many times longer than the fast replica's wait and service together a
/// slow replica must take before a piece waits for the fast one. 2: the
/// estimates are averages of a few requests.
const SLOW_MARGIN: u64 = 2;

/// A replica that may take the piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The target.
    pub target: TargetKey,
    /// Its average service time, in microseconds.
    pub latency: u64,
    /// Slots taken.
    pub taken: u16,
    /// Slots it may use.
    pub limit: u16,
    /// When it may be sent to, in microseconds from now; 0 is now.
    pub pause: u64,
    /// Whether its state page listed the version. The page lags, so a target
    /// without it is the second choice and not ruled out.
    pub seen_version: bool,
    /// Whether an attempt of this piece is on its way there.
    pub used: bool,
}

impl Candidate {
    fn is_free(&self) -> bool {
        self.pause == 0 && self.taken < self.limit
    }

    /// Smaller is better. The attempts it holds stretch its service time: a
    /// target's slots share its processor and disk.
    fn rank(&self) -> (bool, bool, u64) {
        (self.used, !self.seen_version, self.latency * (u64::from(self.taken) + 1))
    }
}

/// What to do with a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Send it there.
    Send(TargetKey),
    /// Let it wait: nothing is free.
    Wait,
    /// Let it wait so many microseconds at most: what is free is so slow that
    /// the answer comes sooner from a replica that is busy now.
    WaitAtMost(u64),
}

/// What the choice depends on besides the candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long the piece has waited, in microseconds.
    pub waited: u64,
    /// Whether a slow replica is better than none: true for a hedge.
    pub hedge: bool,
    /// Random; chooses between equals.
    pub tie: u64,
}

/// Chooses between the candidates of one piece.
pub fn choose(candidates: &[Candidate], options: Options) -> Outcome {
    let count = candidates.len();
    let start = if count == 0 { 0 } else { (options.tie % count as u64) as usize };
    let rotated = candidates[start..].iter().chain(&candidates[..start]);
    let Some(best) = rotated.filter(|each| each.is_free()).min_by_key(|each| each.rank()) else {
        return Outcome::Wait;
    };
    if options.hedge {
        return Outcome::Send(best.target);
    }
    match patience(candidates, best) {
        Some(patience) if options.waited < patience => {
            Outcome::WaitAtMost(patience - options.waited)
        }
        _ => Outcome::Send(best.target),
    }
}

/// How long waiting for a busy, faster replica is worth it. Bounded by half of
/// the slow one's time: the fast one may hang, and the piece must not hang
/// with it.
fn patience(candidates: &[Candidate], best: &Candidate) -> Option<u64> {
    let busy = candidates.iter().filter(|each| each.pause == 0 && each.limit > 0);
    let fast = busy.filter(|each| !each.is_free()).min_by_key(|each| each.latency)?;
    let wait = fast.latency / u64::from(fast.limit);
    let there = wait + fast.latency;
    (best.latency > SLOW_MARGIN * there).then_some(best.latency / 2)
}
