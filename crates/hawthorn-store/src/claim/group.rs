//! A group of claims that is written together, and the exchange that does it.

use std::collections::BTreeMap;

use tokio::time::Instant;
use tokio::time::sleep;

use hawthorn_types::platform::StorePut;

use super::Outcome;
use super::UnavailableCause;
use super::committer::Committer;
use super::committer::WaitingClaim;
use super::committer::answer;
use super::count::ClaimEvent;
use super::ledger::ClaimLedger;
use super::ledger::ClaimName;
use super::ledger::ClaimTable;
use super::ledger::Holder;
use super::ledger::Nonce;
use super::ledger::ReadFinding;
use super::ledger::encode;
use crate::store::Store;
use crate::store::WriteOutcome;

/// Claims of one span, each under its nonce.
#[derive(Debug, Default)]
pub(super) struct ClaimGroup {
    claims: BTreeMap<ClaimName, (WaitingClaim, Nonce)>,
    /// The revision that a write of these claims expected whose answer was lost.
    doubted: Option<u64>,
}

impl ClaimGroup {
    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    pub(super) fn has(&self, name: &ClaimName) -> bool {
        self.claims.contains_key(name)
    }

    pub(super) fn push(&mut self, claim: WaitingClaim, nonce: Nonce) {
        self.claims.insert(claim.name.clone(), (claim, nonce));
    }

    fn nonces(&self) -> impl Iterator<Item = (&ClaimName, &Nonce)> {
        self.claims.iter().map(|(name, (_, nonce))| (name, nonce))
    }

    /// Whether another send held one of the claims when the value was last
    /// seen. It may have given it back since, so that alone refuses nobody.
    fn seems_held(&self, ledger: &ClaimLedger) -> bool {
        self.nonces().any(|(name, nonce)| ledger.holder(name, nonce) == Holder::Other)
    }

    fn take(
        &mut self,
        mut which: impl FnMut(&WaitingClaim, &Nonce) -> bool,
    ) -> Vec<(WaitingClaim, Nonce)> {
        let taken = self.claims.extract_if(.., |_, (claim, nonce)| which(claim, nonce));
        taken.map(|(_, claim)| claim).collect()
    }
}

impl<S: Store> Committer<S> {
    /// Writes `group`, and takes the span's dead claims out along with it.
    ///
    /// Failure: the answer to a write is lost after it took effect. A second
    /// write would then meet the first one's claims and take them for another
    /// host's. The value is read again, and an own nonce in it is an own
    /// claim. If it is not there, the lost write may still come: the next
    /// write expects the same revision, so that only one of the two can take
    /// effect, and both hold the same nonces.
    pub(super) async fn commit(&mut self, span: u64, mut group: ClaimGroup, attempts: u32) {
        let mut ledger = self.ledgers.remove(&span).unwrap_or_default();
        for _ in 0..attempts {
            self.drop_expired(&mut group, &mut ledger);
            let settled = self.exchange(span, &mut group, &mut ledger).await;
            if settled || (group.claims.is_empty() && !ledger.has_dead()) {
                break;
            }
        }
        self.give_up(group, &mut ledger, UnavailableCause::Store);
        if ledger.has_dead() {
            self.clean_soon();
        }
        self.ledgers.insert(span, ledger);
    }

    /// One read, if one is needed, and one write; `true` when all is settled.
    async fn exchange(
        &mut self,
        span: u64,
        group: &mut ClaimGroup,
        ledger: &mut ClaimLedger,
    ) -> bool {
        let key = self.key(span);
        let unsure = ledger.is_stale() || self.contended || group.seems_held(ledger);
        if unsure && !self.read(&key, ledger).await {
            sleep(self.options.pause).await;
            return false;
        }
        self.settle_seen(group, ledger);
        if group.claims.is_empty() && !ledger.has_dead() {
            return true;
        }
        let table = ledger.next(group.nonces());
        let value = encode(&table);
        if value.len() > self.options.max_value && !group.claims.is_empty() {
            let refused = std::mem::take(group);
            self.give_up(refused, ledger, UnavailableCause::SpanFull);
            return true;
        }
        self.write(&key, value, table, group, ledger).await
    }

    async fn read(&mut self, key: &str, ledger: &mut ClaimLedger) -> bool {
        self.counts.add(ClaimEvent::Read);
        let Ok(entry) = self.store.get(key).await else {
            return false;
        };
        match ledger.read(entry) {
            Ok(ReadFinding::Same) => {
                self.contended = false;
                true
            }
            Ok(ReadFinding::Newer) => true,
            Ok(ReadFinding::WentBack) => {
                self.counts.add(ClaimEvent::StoreWentBack);
                log::error!("the store went back to an older revision of {key}");
                true
            }
            Err(_) => {
                self.counts.add(ClaimEvent::Malformed);
                log::error!("{key} holds no table of claims");
                false
            }
        }
    }

    async fn write(
        &mut self,
        key: &str,
        value: String,
        table: ClaimTable,
        group: &mut ClaimGroup,
        ledger: &mut ClaimLedger,
    ) -> bool {
        let expect = ledger.expect();
        self.counts.add(ClaimEvent::Write);
        self.counts.add_many(ClaimEvent::BytesWritten, value.len() as u64);
        match self.store.put(key, StorePut { expect, value, lease: None }).await {
            WriteOutcome::Written { revision } => {
                ledger.written(revision, table);
                for (claim, nonce) in group.take(|_, _| true) {
                    self.grant(claim, nonce);
                }
                return true;
            }
            WriteOutcome::Conflict { .. } => {
                self.counts.add(ClaimEvent::Conflict);
                self.contended = true;
                ledger.doubt();
                return false;
            }
            WriteOutcome::NotRun(_) => {}
            WriteOutcome::Uncertain(_) => {
                self.counts.add(ClaimEvent::LostAnswer);
                ledger.doubt();
                group.doubted = Some(expect);
            }
        }
        sleep(self.options.pause).await;
        false
    }

    /// Answers the claims about which the value just read or written decides.
    fn settle_seen(&self, group: &mut ClaimGroup, ledger: &ClaimLedger) {
        let own = group.take(|claim, nonce| ledger.holder(&claim.name, nonce) == Holder::Own);
        for (claim, nonce) in own {
            self.grant(claim, nonce);
        }
        let held = group.take(|claim, nonce| ledger.holder(&claim.name, nonce) == Holder::Other);
        for (claim, _) in held {
            answer(claim, Outcome::HeldEarlier);
        }
        // A write that expected an older revision can no longer take effect,
        // and its claims are not in the value: it never did.
        if group.doubted.is_some_and(|doubted| doubted < ledger.expect()) {
            group.doubted = None;
        }
    }

    fn drop_expired(&self, group: &mut ClaimGroup, ledger: &mut ClaimLedger) {
        let now = Instant::now();
        let late = group.take(|claim, _| claim.deadline <= now || claim.reply.is_closed());
        let doubted = group.doubted.is_some();
        for (claim, nonce) in late {
            refuse(claim, nonce, doubted, ledger, UnavailableCause::Expired);
        }
    }

    fn give_up(&self, mut group: ClaimGroup, ledger: &mut ClaimLedger, cause: UnavailableCause) {
        let doubted = group.doubted.is_some();
        for (claim, nonce) in group.take(|_, _| true) {
            refuse(claim, nonce, doubted, ledger, cause);
        }
    }
}

/// Answers a claim that will not be granted. Where it may have been recorded
/// its nonce is dead from now on, and the next write takes it out.
fn refuse(
    claim: WaitingClaim,
    nonce: Nonce,
    doubted: bool,
    ledger: &mut ClaimLedger,
    cause: UnavailableCause,
) {
    if doubted {
        ledger.bury(nonce);
        answer(claim, Outcome::Uncertain);
    } else {
        answer(claim, Outcome::Unavailable(cause));
    }
}
