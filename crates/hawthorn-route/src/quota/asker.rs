//! Keeps the tokens that a host was granted, and decides how many it asks for, and whom.
//!
//! Handles routes with a target latency of a few round trips: a host with enough demand asks for
//! several tokens at once, and a host that was denied does not ask again before the next token.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;

use super::QuotaLimits;
use super::TOKEN_LIFETIME;
use super::holder::TokenGrant;
use crate::customer::CustomerQuota;

/// Time within which a holder must reply before another is asked.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(20);
/// Time for which a holder that did not reply is asked after the others.
const SILENCE_TIME: Duration = Duration::from_millis(500);
/// Maximum number of holders that are asked for one request: each may take a round trip between
/// zones, and the next request asks others.
const MAX_ASKED: usize = 5;
/// Part of the expected demand that is asked for. Tokens that are not used in time are lost.
const BATCH_SHARE: f64 = 0.4;
/// Maximum part of the window's quota in one batch.
const MAX_BATCH_SHARE: f64 = 0.05;

/// A token for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaToken {
    expires: Duration,
}

/// What to do for a request without a local token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenPlan {
    /// The request may run.
    Run(QuotaToken),
    /// Ask these holders, in this order, for a number of tokens.
    Ask(u32, Vec<SocketAddr>),
    /// All holders denied a token recently; the next is available after this time.
    Denied(Duration),
    /// No holder is known.
    NoHolder,
}

#[derive(Clone, Copy, Debug)]
struct HolderDenial {
    holder: SocketAddr,
    until: Duration,
    next: Duration,
}

#[derive(Clone, Debug, Default)]
struct CustomerTokens {
    /// Expiry and number of the tokens of each grant, oldest first.
    batches: SmallVec<[(Duration, u32); 4]>,
    denials: SmallVec<[HolderDenial; 8]>,
    /// Requests in the current and in the previous span of [`TOKEN_LIFETIME`].
    demand: (u32, u32),
    span: Duration,
    /// Until when a batch is expected from a holder.
    asked_until: Duration,
}

impl CustomerTokens {
    fn count_demand(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.span);
        if passed >= TOKEN_LIFETIME {
            self.demand = (0, if passed < TOKEN_LIFETIME * 2 { self.demand.0 } else { 0 });
            self.span = now;
        }
        self.demand.0 += 1;
    }

    fn pop(&mut self, now: Duration) -> Option<QuotaToken> {
        self.batches.retain(|(expires, count)| now < *expires && *count > 0);
        let (expires, count) = self.batches.first_mut()?;
        *count -= 1;
        Some(QuotaToken { expires: *expires })
    }
}

/// The tokens of one host.
#[derive(Clone, Debug, Default)]
pub struct TokenAsker {
    customers: HashMap<Rc<str>, CustomerTokens>,
    /// Until when each holder that did not reply is asked last.
    silent: HashMap<SocketAddr, Duration>,
}

impl TokenAsker {
    /// Decides for a request that starts now. `holders` are sorted, the nearest first.
    pub fn plan(
        &mut self,
        customer: &Rc<str>,
        quota: CustomerQuota,
        limits: &QuotaLimits,
        holders: &[SocketAddr],
        now: Duration,
    ) -> TokenPlan {
        if !self.customers.contains_key(customer) {
            self.customers.insert(Rc::clone(customer), CustomerTokens::default());
        }
        let Some(tokens) = self.customers.get_mut(customer) else { return TokenPlan::NoHolder };
        tokens.count_demand(now);
        if let Some(token) = tokens.pop(now) {
            return TokenPlan::Run(token);
        }
        if holders.is_empty() {
            return TokenPlan::NoHolder;
        }
        tokens.denials.retain(|denial| now < denial.until && holders.contains(&denial.holder));
        let denied =
            |holder: &SocketAddr| tokens.denials.iter().any(|denial| denial.holder == *holder);
        let mut order: Vec<SocketAddr> =
            holders.iter().filter(|holder| !denied(holder)).copied().collect();
        if order.is_empty() {
            let next = tokens.denials.iter().map(|denial| denial.next).min().unwrap_or_default();
            return TokenPlan::Denied(next.saturating_sub(now));
        }
        let silent = &self.silent;
        order.sort_by_key(|holder| silent.get(holder).is_some_and(|until| now < *until));
        order.truncate(MAX_ASKED);
        let count = if now < tokens.asked_until { 1 } else { batch_size(tokens, quota, limits) };
        tokens.asked_until = now + REPLY_TIMEOUT;
        TokenPlan::Ask(count, order)
    }

    /// Records a holder's reply to a request for tokens that was sent at `sent`.
    pub fn record(
        &mut self,
        customer: &Rc<str>,
        holder: SocketAddr,
        grant: TokenGrant,
        sent: Duration,
        now: Duration,
    ) {
        self.silent.remove(&holder);
        let tokens = self.customers.entry(Rc::clone(customer)).or_default();
        tokens.asked_until = Duration::ZERO;
        if grant.granted > 0 {
            // The holder's clock cannot be read, but it granted the tokens after they were asked
            // for.
            tokens.batches.push((sent + TOKEN_LIFETIME, grant.granted));
        } else {
            let denial = HolderDenial { holder, until: now + grant.pause, next: now + grant.next };
            tokens.denials.push(denial);
        }
    }

    /// Records that a holder did not reply in time.
    pub fn record_silence(&mut self, holder: SocketAddr, now: Duration) {
        self.silent.retain(|_, until| now < *until);
        self.silent.insert(holder, now + SILENCE_TIME);
    }

    /// Takes a token that was granted in the meantime.
    pub fn take_local(&mut self, customer: &str, now: Duration) -> Option<QuotaToken> {
        self.customers.get_mut(customer)?.pop(now)
    }

    /// Returns the token of a request that did not run.
    pub fn give_back(&mut self, customer: &Rc<str>, token: QuotaToken, now: Duration) {
        if now < token.expires {
            let tokens = self.customers.entry(Rc::clone(customer)).or_default();
            tokens.batches.insert(0, (token.expires, 1));
        }
    }

    /// Forgets denials, as another version of the configuration is in force.
    pub fn forget_denials(&mut self) {
        self.customers.values_mut().for_each(|tokens| tokens.denials.clear());
    }
}

fn batch_size(tokens: &CustomerTokens, quota: CustomerQuota, limits: &QuotaLimits) -> u32 {
    let expected = f64::from(tokens.demand.0.max(tokens.demand.1)) * BATCH_SHARE;
    let most = quota.rate * limits.window.as_secs_f64() * MAX_BATCH_SHARE;
    (expected.min(most) as u32).max(1)
}
