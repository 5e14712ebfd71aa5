//! A batch of claims and the exchange with the store that writes it.

use std::collections::BTreeMap;

use tokio::time::Instant;
use tokio::time::sleep;

use hawthorn_types::platform::StorePut;

use super::Outcome;
use super::UnavailableCause;
use super::cache::ClaimCache;
use super::cache::ClaimName;
use super::cache::ClaimTable;
use super::cache::Holder;
use super::cache::Nonce;
use super::cache::ReadChange;
use super::cache::encode;
use super::committer::Committer;
use super::committer::PendingClaim;
use super::committer::reply;
use super::count::ClaimEvent;
use crate::store::Store;
use crate::store::WriteOutcome;

/// Claims of one span, each under its nonce.
#[derive(Debug, Default)]
pub(super) struct ClaimBatch {
    claims: BTreeMap<ClaimName, (PendingClaim, Nonce)>,
    /// The revision expected by a write of these claims whose outcome is unknown.
    uncertain_write: Option<u64>,
}

impl ClaimBatch {
    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    pub(super) fn has(&self, name: &ClaimName) -> bool {
        self.claims.contains_key(name)
    }

    pub(super) fn push(&mut self, claim: PendingClaim, nonce: Nonce) {
        self.claims.insert(claim.name.clone(), (claim, nonce));
    }

    fn nonces(&self) -> impl Iterator<Item = (&ClaimName, &Nonce)> {
        self.claims.iter().map(|(name, (_, nonce))| (name, nonce))
    }

    /// Whether another send held one of the claims when the value was last seen. It may have
    /// released the claim since, so the value is read before the claim is rejected.
    fn may_be_held(&self, cache: &ClaimCache) -> bool {
        self.nonces().any(|(name, nonce)| cache.holder(name, nonce) == Holder::Other)
    }

    fn extract(
        &mut self,
        mut predicate: impl FnMut(&PendingClaim, &Nonce) -> bool,
    ) -> Vec<(PendingClaim, Nonce)> {
        let extracted = self.claims.extract_if(.., |_, (claim, nonce)| predicate(claim, nonce));
        extracted.map(|(_, claim)| claim).collect()
    }
}

impl<S: Store> Committer<S> {
    /// Writes `batch` and removes the abandoned claims of the span in the same write.
    ///
    /// The answer to a write may be lost after the write took effect, and a retry would attribute
    /// its claims to another host. The value is therefore read again, and a nonce of this batch
    /// in it marks a claim as recorded. If there is none, the first write may still take effect:
    /// the next one expects the same revision, so that only one of the two can succeed, and both
    /// contain the same nonces.
    pub(super) async fn commit(&mut self, span: u64, mut batch: ClaimBatch, attempts: u32) {
        let mut cache = self.caches.remove(&span).unwrap_or_default();
        for _ in 0..attempts {
            self.drop_expired(&mut batch, &mut cache);
            let resolved = self.exchange(span, &mut batch, &mut cache).await;
            if resolved || (batch.claims.is_empty() && !cache.has_abandoned()) {
                break;
            }
        }
        self.reject_all(batch, &mut cache, UnavailableCause::Store);
        if cache.has_abandoned() {
            self.schedule_purge();
        }
        self.caches.insert(span, cache);
    }

    /// Performs a read, if needed, and a write. Returns `true` once every claim of the batch
    /// is resolved.
    async fn exchange(
        &mut self,
        span: u64,
        batch: &mut ClaimBatch,
        cache: &mut ClaimCache,
    ) -> bool {
        let key = self.key(span);
        let needs_read = cache.is_stale() || self.contended || batch.may_be_held(cache);
        if needs_read && !self.read(&key, cache).await {
            sleep(self.options.retry_delay).await;
            return false;
        }
        self.resolve_from_cache(batch, cache);
        if batch.claims.is_empty() && !cache.has_abandoned() {
            return true;
        }
        let table = cache.next_table(batch.nonces());
        let value = encode(&table);
        if value.len() > self.options.max_value && !batch.claims.is_empty() {
            let rejected = std::mem::take(batch);
            self.reject_all(rejected, cache, UnavailableCause::SpanFull);
            return true;
        }
        self.write(&key, value, table, batch, cache).await
    }

    async fn read(&mut self, key: &str, cache: &mut ClaimCache) -> bool {
        self.counts.add(ClaimEvent::Read);
        let Ok(entry) = self.store.get(key).await else {
            return false;
        };
        match cache.record_read(entry) {
            Ok(ReadChange::Unchanged) => {
                self.contended = false;
                true
            }
            Ok(ReadChange::Newer) => true,
            Ok(ReadChange::Reverted) => {
                self.counts.add(ClaimEvent::StoreReverted);
                log::error!("store reverted to an older revision of {key}");
                true
            }
            Err(_) => {
                self.counts.add(ClaimEvent::Malformed);
                log::error!("value of {key} is not a table of claims");
                false
            }
        }
    }

    async fn write(
        &mut self,
        key: &str,
        value: String,
        table: ClaimTable,
        batch: &mut ClaimBatch,
        cache: &mut ClaimCache,
    ) -> bool {
        let expect = cache.expected_revision();
        self.counts.add(ClaimEvent::Write);
        self.counts.add_many(ClaimEvent::BytesWritten, value.len() as u64);
        match self.store.put(key, StorePut { expect, value, lease: None }).await {
            WriteOutcome::Written { revision } => {
                cache.record_write(revision, table);
                for (claim, nonce) in batch.extract(|_, _| true) {
                    self.grant(claim, nonce);
                }
                return true;
            }
            WriteOutcome::Conflict { .. } => {
                self.counts.add(ClaimEvent::Conflict);
                self.contended = true;
                cache.mark_stale();
                return false;
            }
            WriteOutcome::NotRun(_) => {}
            WriteOutcome::Uncertain(_) => {
                self.counts.add(ClaimEvent::LostAnswer);
                cache.mark_stale();
                batch.uncertain_write = Some(expect);
            }
        }
        sleep(self.options.retry_delay).await;
        false
    }

    /// Replies to the claims whose outcome follows from the cached value.
    fn resolve_from_cache(&self, batch: &mut ClaimBatch, cache: &ClaimCache) {
        let own = batch.extract(|claim, nonce| cache.holder(&claim.name, nonce) == Holder::Own);
        for (claim, nonce) in own {
            self.grant(claim, nonce);
        }
        let held = batch.extract(|claim, nonce| cache.holder(&claim.name, nonce) == Holder::Other);
        for (claim, _) in held {
            reply(claim, Outcome::HeldEarlier);
        }
        // A write that expected an older revision can no longer take effect, and since its
        // claims are not in the value it never did.
        if batch.uncertain_write.is_some_and(|expected| expected < cache.expected_revision()) {
            batch.uncertain_write = None;
        }
    }

    fn drop_expired(&self, batch: &mut ClaimBatch, cache: &mut ClaimCache) {
        let now = Instant::now();
        let expired = batch.extract(|claim, _| claim.deadline <= now || claim.reply.is_closed());
        let uncertain = batch.uncertain_write.is_some();
        for (claim, nonce) in expired {
            reject(claim, nonce, uncertain, cache, UnavailableCause::Expired);
        }
    }

    fn reject_all(&self, mut batch: ClaimBatch, cache: &mut ClaimCache, cause: UnavailableCause) {
        let uncertain = batch.uncertain_write.is_some();
        for (claim, nonce) in batch.extract(|_, _| true) {
            reject(claim, nonce, uncertain, cache, cause);
        }
    }
}

/// Replies to a claim that will not be granted. If it may have been recorded, its nonce is
/// abandoned and the next write removes it.
fn reject(
    claim: PendingClaim,
    nonce: Nonce,
    uncertain: bool,
    cache: &mut ClaimCache,
    cause: UnavailableCause,
) {
    if uncertain {
        cache.abandon(nonce);
        reply(claim, Outcome::Uncertain);
    } else {
        reply(claim, Outcome::Unavailable(cause));
    }
}
