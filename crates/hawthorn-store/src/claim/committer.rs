//! One bucket's task: gathers the claims that wait, writes them together.

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
use super::count::ClaimCounts;
use super::count::ClaimEvent;
use super::grant::ClaimGrant;
use super::grant::ReleasedNonce;
use super::group::ClaimGroup;
use super::ledger::ClaimLedger;
use super::ledger::ClaimName;
use super::ledger::Nonce;
use super::stamp::forgotten_at;
use crate::store::Store;

/// A claim on its way to the store.
#[derive(Debug)]
pub(super) struct WaitingClaim {
    pub(super) name: ClaimName,
    pub(super) span: u64,
    pub(super) deadline: Instant,
    pub(super) unix_now: Duration,
    /// When its id is too old for a claim, in Unix time.
    pub(super) expires_at: Duration,
    /// Set by the first of the two that may: see `keeper::given_up`.
    pub(super) taken: Arc<AtomicBool>,
    pub(super) reply: oneshot::Sender<Outcome>,
}

/// The task of one bucket.
pub(super) struct Committer<S> {
    pub(super) store: Arc<S>,
    pub(super) options: Options,
    pub(super) counts: Arc<ClaimCounts>,
    pub(super) ledgers: BTreeMap<u64, ClaimLedger>,
    /// Another host writes this bucket too. Its next write would most likely
    /// meet a conflict, so the value is read first: two calls in place of three,
    /// and reads are what the store has more of.
    pub(super) contended: bool,
    bucket: u32,
    seed: ProcessSeed,
    arrivals: mpsc::Receiver<WaitingClaim>,
    releases: mpsc::UnboundedReceiver<ReleasedNonce>,
    releaser: mpsc::UnboundedSender<ReleasedNonce>,
    waiting: VecDeque<WaitingClaim>,
    cancel: CancellationToken,
    next_write: Instant,
    clean_at: Option<Instant>,
    unix_now: Duration,
    nonces: u64,
}

impl<S: Store> Committer<S> {
    pub(super) fn new(
        store: Arc<S>,
        bucket: u32,
        seed: ProcessSeed,
        options: Options,
        arrivals: mpsc::Receiver<WaitingClaim>,
        counts: Arc<ClaimCounts>,
        cancel: CancellationToken,
    ) -> Self {
        let (releaser, releases) = mpsc::unbounded_channel();
        Self {
            store,
            options,
            counts,
            ledgers: BTreeMap::new(),
            contended: false,
            bucket,
            seed,
            arrivals,
            releases,
            releaser,
            waiting: VecDeque::new(),
            cancel,
            next_write: Instant::now(),
            clean_at: None,
            unix_now: Duration::ZERO,
            nonces: 0,
        }
    }

    pub(super) async fn run(mut self) {
        while self.wait().await {
            if self.waiting.is_empty() {
                self.clean().await;
            } else {
                self.commit_first().await;
            }
            self.next_write = Instant::now() + self.options.min_interval;
            self.forget_old();
        }
        self.stop().await;
    }

    /// Waits until there is something to write and a write is due; `false`
    /// when the keeper stops.
    ///
    /// Load: a burst of claims. Each on its own write would fill the store's
    /// several hundred writes a second, which all hosts share. A claim that
    /// comes alone is written at once; those that come within `min_interval`
    /// of a write, or while it lasts, go together in the next one.
    async fn wait(&mut self) -> bool {
        loop {
            self.take_arrivals();
            let now = Instant::now();
            let due = !self.waiting.is_empty() || self.clean_at.is_some_and(|at| at <= now);
            if due && self.next_write <= now {
                return !self.cancel.is_cancelled();
            }
            let wake = if due { Some(self.next_write) } else { self.clean_at };
            select! {
                biased;
                () = self.cancel.cancelled() => return false,
                arrival = self.arrivals.recv(), if self.has_room() => match arrival {
                    Some(claim) => self.waiting.push_back(claim),
                    None => return false,
                },
                released = self.releases.recv() => self.bury(released),
                () = sleep_until(wake.unwrap_or(now)), if wake.is_some() => {}
            }
        }
    }

    /// Beyond this, claims stay in the channel, and beyond that they are refused.
    fn has_room(&self) -> bool {
        self.waiting.len() < self.options.max_waiting
    }

    fn take_arrivals(&mut self) {
        while self.has_room() {
            let Ok(claim) = self.arrivals.try_recv() else {
                break;
            };
            self.waiting.push_back(claim);
        }
        while let Ok(released) = self.releases.try_recv() {
            self.bury(Some(released));
        }
    }

    fn bury(&mut self, released: Option<ReleasedNonce>) {
        let Some(ReleasedNonce { span, nonce }) = released else {
            return;
        };
        self.counts.add(ClaimEvent::Released);
        self.ledgers.entry(span).or_default().bury(nonce);
        self.clean_soon();
    }

    /// Sets the time of the next write that takes dead claims out.
    pub(super) fn clean_soon(&mut self) {
        let soon = Instant::now() + self.options.release_delay;
        self.clean_at.get_or_insert(soon);
    }

    /// Writes the claims that wait for the span of the first one.
    async fn commit_first(&mut self) {
        let Some(first) = self.waiting.front() else {
            return;
        };
        let span = first.span;
        let group = self.gather(span);
        self.commit(span, group, self.options.max_attempts).await;
    }

    /// Takes the claims of `span` that still wait, each name once: a second
    /// send of the same id goes in a later group and finds the first.
    fn gather(&mut self, span: u64) -> ClaimGroup {
        let mut group = ClaimGroup::default();
        let mut left = VecDeque::new();
        let now = Instant::now();
        for claim in mem::take(&mut self.waiting) {
            let full = group.len() >= self.options.max_group;
            if claim.span != span || full || group.has(&claim.name) {
                left.push_back(claim);
                continue;
            }
            self.unix_now = self.unix_now.max(claim.unix_now);
            // Whoever sets the mark first decides; see `keeper::given_up`.
            let withdrawn = claim.taken.swap(true, Ordering::AcqRel);
            if withdrawn {
                continue;
            }
            if claim.deadline <= now {
                answer(claim, Outcome::Unavailable(UnavailableCause::Expired));
                continue;
            }
            let nonce = self.next_nonce();
            group.push(claim, nonce);
        }
        self.waiting = left;
        group
    }

    /// Unique within the bucket, and so within every value that this task writes.
    fn next_nonce(&mut self) -> Nonce {
        self.nonces += 1;
        format!("{:x}.{:x}", self.seed.0, self.nonces)
    }

    /// Takes dead claims out of the values that may hold them.
    async fn clean(&mut self) {
        self.clean_at = None;
        let dead = self.ledgers.iter().filter(|(_, ledger)| ledger.has_dead());
        let spans: Vec<u64> = dead.map(|(span, _)| *span).collect();
        for span in spans {
            self.commit(span, ClaimGroup::default(), CLEAN_ATTEMPTS).await;
        }
        if self.ledgers.values().any(ClaimLedger::has_dead) {
            self.clean_soon();
        }
    }

    /// Drops what is known of spans whose ids every host refuses.
    fn forget_old(&mut self) {
        let options = &self.options;
        let now = self.unix_now;
        self.ledgers.retain(|span, _| now < forgotten_at(*span, options));
    }

    async fn stop(mut self) {
        self.arrivals.close();
        self.take_arrivals();
        for claim in mem::take(&mut self.waiting) {
            // A claim that has withdrawn reads no answer.
            let _ = claim.taken.swap(true, Ordering::AcqRel);
            answer(claim, Outcome::Unavailable(UnavailableCause::Stopping));
        }
        self.clean().await;
    }

    pub(super) fn key(&self, span: u64) -> String {
        format!("claims/{}/{span}", self.bucket)
    }

    /// Hands out a claim that is recorded.
    pub(super) fn grant(&self, claim: WaitingClaim, nonce: Nonce) {
        let grant = ClaimGrant {
            released: Some(ReleasedNonce { span: claim.span, nonce }),
            releases: self.releaser.clone(),
            deadline: claim.deadline,
            expires_at: claim.expires_at,
        };
        answer(claim, Outcome::Granted(grant));
    }
}

/// A read and a write; the next cleaning follows soon if they fail.
const CLEAN_ATTEMPTS: u32 = 2;

/// Answers a claim. If nobody reads the answer, dropping it gives a grant back.
pub(super) fn answer(claim: WaitingClaim, outcome: Outcome) {
    let _ = claim.reply.send(outcome);
}
