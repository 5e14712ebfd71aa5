//! The handle through which a host claims.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthorn_types::RefusalReason;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::ClaimRequest;
use super::Options;
use super::Outcome;
use super::ProcessSeed;
use super::UnavailableCause;
use super::committer::Committer;
use super::committer::WaitingClaim;
use super::count::ClaimCounts;
use super::count::ClaimEvent;
use super::ledger::ClaimName;
use super::stamp::RequestStamp;
use crate::store::Store;

/// Writes after which a full bucket has taken in what waited.
const BUSY_INTERVALS: u32 = 4;
/// Attempts to take out a claim in doubt before the same id is worth sending.
const DOUBT_DELAYS: u32 = 4;

/// Claims for one host; clones share their tasks and counts.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    buckets: Arc<[mpsc::Sender<WaitingClaim>]>,
    counts: Arc<ClaimCounts>,
    options: Options,
}

/// The bucket of a claim; the same on every host.
pub fn bucket_of(caller: &str, request_id: &str, buckets: u32) -> u32 {
    let name = format!("{caller}\n{request_id}");
    let bucket = xxh3_64(name.as_bytes()) % u64::from(buckets.max(1));
    u32::try_from(bucket).expect("a remainder of a u32 fits one")
}

impl ClaimClient {
    /// Starts one task for each bucket; they end, and give back what they
    /// can, when `cancel` is cancelled.
    pub fn spawn<S: Store>(
        store: Arc<S>,
        seed: ProcessSeed,
        cancel: &CancellationToken,
        options: Options,
    ) -> Self {
        let counts = Arc::new(ClaimCounts::default());
        let start = |bucket| {
            let (sender, receiver) = mpsc::channel(options.max_waiting.max(1));
            let counts = Arc::clone(&counts);
            let cancel = cancel.child_token();
            let committer =
                Committer::new(Arc::clone(&store), bucket, seed, options, receiver, counts, cancel);
            tokio::spawn(committer.run());
            sender
        };
        let buckets = (0..options.buckets.max(1)).map(start).collect();
        Self { buckets, counts, options }
    }

    /// What the claims came to and cost.
    pub fn counts(&self) -> &ClaimCounts {
        &self.counts
    }

    /// Claims a request. Returns by the deadline of `ask`.
    pub async fn claim(&self, ask: ClaimRequest) -> Outcome {
        let outcome = match self.check(&ask) {
            Ok(stamp) => self.record(ask, stamp).await,
            Err(reason) => return Outcome::Refused(reason),
        };
        if let Some(event) = event_of(&outcome) {
            self.counts.add(event);
        }
        outcome
    }

    /// When a request that was not run is worth sending again; `None` when the
    /// same id would be refused again.
    ///
    /// A refusal is given at once; the time until it is worth asking is told,
    /// not waited out. After a failure of the store that is the time in which
    /// a claim in doubt is taken out again.
    pub fn retry_after(&self, outcome: &Outcome) -> Option<Duration> {
        match outcome {
            Outcome::Unavailable(UnavailableCause::QueueFull | UnavailableCause::Expired) => {
                Some(self.options.min_interval * BUSY_INTERVALS)
            }
            Outcome::Unavailable(_) | Outcome::Uncertain => {
                Some(self.options.release_delay * DOUBT_DELAYS)
            }
            Outcome::Refused(RefusalReason::RequestIdInFuture) => Some(self.options.skew),
            Outcome::Granted(_) | Outcome::HeldEarlier | Outcome::Refused(_) => None,
        }
    }

    fn check(&self, ask: &ClaimRequest) -> Result<RequestStamp, RefusalReason> {
        let stamp = RequestStamp::parse(&ask.request_id);
        let stamp = stamp.map_err(|_| RefusalReason::BadRequestId)?;
        stamp.check(ask.unix_now, &self.options)?;
        if ask.deadline <= Instant::now() {
            return Err(RefusalReason::DeadlinePast);
        }
        Ok(stamp)
    }

    async fn record(&self, ask: ClaimRequest, stamp: RequestStamp) -> Outcome {
        let bucket = bucket_of(&ask.caller, &ask.request_id, self.options.buckets);
        let (reply, answer) = oneshot::channel();
        let taken = Arc::new(AtomicBool::new(false));
        let claim = WaitingClaim {
            name: ClaimName { caller: ask.caller, request_id: ask.request_id },
            span: stamp.span(&self.options),
            deadline: ask.deadline,
            unix_now: ask.unix_now,
            expires_at: stamp.expires_at(&self.options),
            taken: Arc::clone(&taken),
            reply,
        };
        match self.buckets[bucket as usize].try_send(claim) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Outcome::Unavailable(UnavailableCause::QueueFull),
            Err(TrySendError::Closed(_)) => {
                return Outcome::Unavailable(UnavailableCause::Stopping);
            }
        }
        match timeout_at(ask.deadline, answer).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => given_up(&taken, UnavailableCause::Stopping),
            Err(_) => given_up(&taken, UnavailableCause::Expired),
        }
    }
}

/// What to say of a claim that got no answer. Whoever sets `taken` first, the
/// keeper by giving up or the committer by taking the claim into a write,
/// decides whether it can have been recorded. An answer that is sent after
/// this finds no receiver, and its grant goes back by being dropped.
fn given_up(taken: &AtomicBool, cause: UnavailableCause) -> Outcome {
    match taken.swap(true, Ordering::AcqRel) {
        true => Outcome::Uncertain,
        false => Outcome::Unavailable(cause),
    }
}

fn event_of(outcome: &Outcome) -> Option<ClaimEvent> {
    match outcome {
        Outcome::Granted(_) => Some(ClaimEvent::Granted),
        Outcome::HeldEarlier => Some(ClaimEvent::HeldEarlier),
        Outcome::Unavailable(_) => Some(ClaimEvent::Unavailable),
        Outcome::Uncertain => Some(ClaimEvent::Uncertain),
        Outcome::Refused(_) => None,
    }
}
