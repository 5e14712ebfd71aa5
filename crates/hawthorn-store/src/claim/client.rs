//! Client for claiming requests, shared by the tasks of a host.

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
use super::cache::ClaimName;
use super::committer::Committer;
use super::committer::PendingClaim;
use super::count::ClaimCounts;
use super::count::ClaimEvent;
use super::stamp::RequestStamp;
use crate::store::Store;

/// Write intervals after which a full bucket has written its pending claims.
const QUEUE_FULL_INTERVALS: u32 = 4;
/// Release delays, each followed by an attempt to remove an uncertain claim, after which the same
/// id may be sent again.
const UNCERTAIN_RELEASE_DELAYS: u32 = 4;

/// Claims requests for one host. Clones share the bucket tasks and counters.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    buckets: Arc<[mpsc::Sender<PendingClaim>]>,
    counts: Arc<ClaimCounts>,
    options: Options,
}

/// Returns the bucket of a claim, which is the same on every host.
pub fn bucket_of(caller: &str, request_id: &str, buckets: u32) -> u32 {
    let name = format!("{caller}\n{request_id}");
    let bucket = xxh3_64(name.as_bytes()) % u64::from(buckets.max(1));
    u32::try_from(bucket).expect("a remainder of a u32 fits one")
}

impl ClaimClient {
    /// Starts one task for each bucket. When `cancel` is cancelled, the tasks release what
    /// they can and stop.
    pub fn spawn<S: Store>(
        store: Arc<S>,
        seed: ProcessSeed,
        cancel: &CancellationToken,
        options: Options,
    ) -> Self {
        let counts = Arc::new(ClaimCounts::default());
        let start = |bucket| {
            let (sender, receiver) = mpsc::channel(options.max_pending.max(1));
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

    /// Counters of claim outcomes and store calls.
    pub fn counts(&self) -> &ClaimCounts {
        &self.counts
    }

    /// Claims a request. Returns no later than the deadline of `request`.
    pub async fn claim(&self, request: ClaimRequest) -> Outcome {
        let outcome = match self.check(&request) {
            Ok(stamp) => self.record(request, stamp).await,
            Err(reason) => return Outcome::Refused(reason),
        };
        if let Some(event) = event_of(&outcome) {
            self.counts.add(event);
        }
        outcome
    }

    /// Returns when a request that did not run may be retried; `None` if the same id would be
    /// refused again.
    ///
    /// A refusal is returned immediately, and the caller waits for this delay instead of the
    /// host. After a store failure it is the time in which an uncertain claim is removed.
    pub fn retry_after(&self, outcome: &Outcome) -> Option<Duration> {
        match outcome {
            Outcome::Unavailable(UnavailableCause::QueueFull | UnavailableCause::Expired) => {
                Some(self.options.min_interval * QUEUE_FULL_INTERVALS)
            }
            Outcome::Unavailable(_) | Outcome::Uncertain => {
                Some(self.options.release_delay * UNCERTAIN_RELEASE_DELAYS)
            }
            Outcome::Refused(RefusalReason::ClockUncertain) => Some(self.options.skew),
            Outcome::Granted(_) | Outcome::HeldEarlier | Outcome::Refused(_) => None,
        }
    }

    fn check(&self, request: &ClaimRequest) -> Result<RequestStamp, RefusalReason> {
        let stamp = RequestStamp::parse(&request.request_id);
        let stamp = stamp.map_err(|_| RefusalReason::BadRequestId)?;
        stamp.check(request.unix_now, &self.options)?;
        Ok(stamp)
    }

    async fn record(&self, request: ClaimRequest, stamp: RequestStamp) -> Outcome {
        if request.deadline <= Instant::now() {
            return Outcome::Unavailable(UnavailableCause::Expired);
        }
        let bucket = bucket_of(&request.caller, &request.request_id, self.options.buckets);
        let (reply, receiver) = oneshot::channel();
        let decided = Arc::new(AtomicBool::new(false));
        let claim = PendingClaim {
            name: ClaimName { caller: request.caller, request_id: request.request_id },
            span: stamp.span(&self.options),
            deadline: request.deadline,
            unix_now: request.unix_now,
            expires_at: stamp.expires_at(&self.options),
            decided: Arc::clone(&decided),
            reply,
        };
        match self.buckets[bucket as usize].try_send(claim) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Outcome::Unavailable(UnavailableCause::QueueFull),
            Err(TrySendError::Closed(_)) => {
                return Outcome::Unavailable(UnavailableCause::Stopping);
            }
        }
        match timeout_at(request.deadline, receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => outcome_without_reply(&decided, UnavailableCause::Stopping),
            Err(_) => outcome_without_reply(&decided, UnavailableCause::Expired),
        }
    }
}

/// Outcome of a claim that received no reply. The first to set `decided` determines whether it
/// can have been recorded: the client when it stops waiting, or the committer when it adds the
/// claim to a batch. A reply sent later has no receiver, and a grant in it is released when
/// dropped.
fn outcome_without_reply(decided: &AtomicBool, cause: UnavailableCause) -> Outcome {
    match decided.swap(true, Ordering::AcqRel) {
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
