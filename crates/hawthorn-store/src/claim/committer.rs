//! The task of one bucket: batches pending claims and writes them to the store.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::mem;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::select;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::Options;
use super::Outcome;
use super::ProcessSeed;
use super::UnavailableCause;
use super::batch::ClaimBatch;
use super::cache::ClaimCache;
use super::cache::ClaimName;
use super::cache::Nonce;
use super::count::ClaimCounts;
use super::count::ClaimEvent;
use super::grant::ClaimGrant;
use super::grant::ReleasedNonce;
use super::stamp::retained_until;
use crate::store::Store;

/// A claim that waits to be written.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) name: ClaimName,
    pub(super) span: u64,
    pub(super) deadline: Instant,
    pub(super) unix_now: Duration,
    /// When the request id becomes too old for a claim, in Unix time.
    pub(super) expires_at: Duration,
    /// Set by whichever comes first, the client when it stops waiting or the committer when
    /// it adds the claim to a batch: see `client::outcome_without_reply`.
    pub(super) decided: Arc<AtomicBool>,
    pub(super) reply: oneshot::Sender<Outcome>,
}

/// The task of one bucket.
pub(super) struct Committer<S> {
    pub(super) store: Arc<S>,
    pub(super) options: Options,
    pub(super) counts: Arc<ClaimCounts>,
    pub(super) caches: BTreeMap<u64, ClaimCache>,
    /// Another host also writes this bucket, so the next write would probably conflict. The
    /// value is read first: two calls instead of three, and the store has more capacity for
    /// reads than for writes.
    pub(super) contended: bool,
    bucket: u32,
    seed: ProcessSeed,
    arrivals: mpsc::Receiver<PendingClaim>,
    releases: mpsc::UnboundedReceiver<ReleasedNonce>,
    releaser: mpsc::UnboundedSender<ReleasedNonce>,
    pending: VecDeque<PendingClaim>,
    cancel: CancellationToken,
    next_write: Instant,
    purge_at: Option<Instant>,
    unix_now: Duration,
    nonces: u64,
}

impl<S: Store> Committer<S> {
    pub(super) fn new(
        store: Arc<S>,
        bucket: u32,
        seed: ProcessSeed,
        options: Options,
        arrivals: mpsc::Receiver<PendingClaim>,
        counts: Arc<ClaimCounts>,
        cancel: CancellationToken,
    ) -> Self {
        let (releaser, releases) = mpsc::unbounded_channel();
        Self {
            store,
            options,
            counts,
            caches: BTreeMap::new(),
            contended: false,
            bucket,
            seed,
            arrivals,
            releases,
            releaser,
            pending: VecDeque::new(),
            cancel,
            next_write: Instant::now(),
            purge_at: None,
            unix_now: Duration::ZERO,
            nonces: 0,
        }
    }

    pub(super) async fn run(mut self) {
        while self.wait().await {
            if self.pending.is_empty() {
                self.purge().await;
            } else {
                self.commit_first().await;
            }
            self.next_write = Instant::now() + self.options.min_interval;
            self.drop_expired_spans();
        }
        self.stop().await;
    }

    /// Waits until a write is due. Returns `false` when the task is cancelled or its channel
    /// is closed.
    ///
    /// Handles a burst of claims: one write for each would exhaust the store's several
    /// hundred writes a second, which all hosts share. A single claim is written
    /// immediately; claims that arrive during a write, or within `min_interval` after it, are
    /// batched in the next one.
    async fn wait(&mut self) -> bool {
        loop {
            self.drain_arrivals();
            let now = Instant::now();
            let due = !self.pending.is_empty() || self.purge_at.is_some_and(|at| at <= now);
            if due && self.next_write <= now {
                return !self.cancel.is_cancelled();
            }
            let wake = if due { Some(self.next_write) } else { self.purge_at };
            select! {
                biased;
                () = self.cancel.cancelled() => return false,
                arrival = self.arrivals.recv(), if self.has_capacity() => match arrival {
                    Some(claim) => self.pending.push_back(claim),
                    None => return false,
                },
                released = self.releases.recv() => self.abandon(released),
                () = sleep_until(wake.unwrap_or(now)), if wake.is_some() => {}
            }
        }
    }

    /// Whether more claims may be queued. Otherwise they stay in the channel; once that is
    /// full as well, they are rejected.
    fn has_capacity(&self) -> bool {
        self.pending.len() < self.options.max_pending
    }

    fn drain_arrivals(&mut self) {
        while self.has_capacity() {
            let Ok(claim) = self.arrivals.try_recv() else {
                break;
            };
            self.pending.push_back(claim);
        }
        while let Ok(released) = self.releases.try_recv() {
            self.abandon(Some(released));
        }
    }

    fn abandon(&mut self, released: Option<ReleasedNonce>) {
        let Some(ReleasedNonce { span, nonce }) = released else {
            return;
        };
        self.counts.add(ClaimEvent::Released);
        self.caches.entry(span).or_default().abandon(nonce);
        self.schedule_purge();
    }

    /// Schedules the next write that removes abandoned claims.
    pub(super) fn schedule_purge(&mut self) {
        let at = Instant::now() + self.options.release_delay;
        self.purge_at.get_or_insert(at);
    }

    /// Writes a batch of pending claims of the same span as the first one.
    async fn commit_first(&mut self) {
        let Some(first) = self.pending.front() else {
            return;
        };
        let span = first.span;
        let batch = self.next_batch(span);
        self.commit(span, batch, self.options.max_attempts).await;
    }

    /// Removes a batch of claims of `span` from the queue. Each name occurs once: a second
    /// send of the same id goes into a later batch and finds the first one's claim.
    fn next_batch(&mut self, span: u64) -> ClaimBatch {
        let mut batch = ClaimBatch::default();
        let mut remaining = VecDeque::new();
        let now = Instant::now();
        for claim in mem::take(&mut self.pending) {
            let full = batch.len() >= self.options.max_batch;
            if claim.span != span || full || batch.has(&claim.name) {
                remaining.push_back(claim);
                continue;
            }
            self.unix_now = self.unix_now.max(claim.unix_now);
            // The first to set the flag decides; see `client::outcome_without_reply`.
            let cancelled = claim.decided.swap(true, Ordering::AcqRel);
            if cancelled {
                continue;
            }
            if claim.deadline <= now {
                reply(claim, Outcome::Unavailable(UnavailableCause::Expired));
                continue;
            }
            let nonce = self.next_nonce();
            batch.push(claim, nonce);
        }
        self.pending = remaining;
        batch
    }

    /// Creates a nonce that is unique within the bucket, and so within every value that this
    /// task writes.
    fn next_nonce(&mut self) -> Nonce {
        self.nonces += 1;
        format!("{:x}.{:x}", self.seed.0, self.nonces)
    }

    /// Removes abandoned claims from the values that may contain them.
    async fn purge(&mut self) {
        self.purge_at = None;
        let abandoned = self.caches.iter().filter(|(_, cache)| cache.has_abandoned());
        let spans: Vec<u64> = abandoned.map(|(span, _)| *span).collect();
        for span in spans {
            self.commit(span, ClaimBatch::default(), PURGE_ATTEMPTS).await;
        }
        if self.caches.values().any(ClaimCache::has_abandoned) {
            self.schedule_purge();
        }
    }

    /// Drops the caches of spans whose ids every host rejects.
    fn drop_expired_spans(&mut self) {
        let options = &self.options;
        let now = self.unix_now;
        self.caches.retain(|span, _| now < retained_until(*span, options));
    }

    async fn stop(mut self) {
        self.arrivals.close();
        self.drain_arrivals();
        for claim in mem::take(&mut self.pending) {
            // The client of a cancelled claim does not read the reply.
            let _ = claim.decided.swap(true, Ordering::AcqRel);
            reply(claim, Outcome::Unavailable(UnavailableCause::Stopping));
        }
        self.purge().await;
    }

    pub(super) fn key(&self, span: u64) -> String {
        format!("claims/{}/{span}", self.bucket)
    }

    /// Grants a claim that is recorded.
    pub(super) fn grant(&self, claim: PendingClaim, nonce: Nonce) {
        let grant = ClaimGrant {
            released: Some(ReleasedNonce { span: claim.span, nonce }),
            releases: self.releaser.clone(),
            deadline: claim.deadline,
            expires_at: claim.expires_at,
        };
        reply(claim, Outcome::Granted(grant));
    }
}

/// Enough for a read and a write. If they fail, another purge is scheduled.
const PURGE_ATTEMPTS: u32 = 2;

/// Replies to a claim. A grant in a reply that nobody receives is released when dropped.
pub(super) fn reply(claim: PendingClaim, outcome: Outcome) {
    let _ = claim.reply.send(outcome);
}
