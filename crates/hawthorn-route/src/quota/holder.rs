//! Grants tokens from the shares of one slot.
//!
//! Handles more requests than a quota permits, from many hosts that learn of it only by asking.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::QuotaShare;

/// Span in which denials are counted.
const DENIAL_SPAN: Duration = Duration::from_millis(250);
/// Number of denials in two spans below which hosts come back for the next token at once: a small
/// host answers them in some milliseconds.
const FREE_DENIALS: u32 = 40;
/// Shortest and longest time for which a host that was denied a token does not ask again.
const PAUSE_TIMES: (Duration, Duration) = (Duration::from_millis(2), Duration::from_secs(2));

/// How full the buckets of a new holder are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum HolderStart {
    /// The slot had no holder for a whole window.
    Full,
    /// At most one other holder besides the previous one may have spent tokens in the window.
    Allowance,
    /// More holders may have spent their tokens in the window.
    Empty,
}

/// The reply to a request for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenGrant {
    /// Number of tokens.
    pub granted: u32,
    /// Time until the next token, if none was granted.
    pub next: Duration,
    /// Time for which the asking host should not ask again, if none was granted.
    pub pause: Duration,
}

#[derive(Clone, Debug)]
struct TokenBucket {
    share: QuotaShare,
    tokens: f64,
    filled: Duration,
    /// Denials in the current and in the previous span.
    denials: (u32, u32),
    span: Duration,
}

impl TokenBucket {
    fn new(share: QuotaShare, tokens: f64, now: Duration) -> Self {
        Self { share, tokens, filled: now, denials: (0, 0), span: now }
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + self.share.refill * elapsed).min(self.share.capacity);
        self.filled = self.filled.max(now);
    }

    fn take(&mut self, count: u32, now: Duration) -> TokenGrant {
        self.fill(now);
        let granted = (self.tokens as u32).min(count);
        self.tokens -= f64::from(granted);
        if granted > 0 || count == 0 {
            return TokenGrant { granted, ..TokenGrant::default() };
        }
        let passed = now.saturating_sub(self.span);
        if passed >= DENIAL_SPAN {
            self.denials = (0, if passed < DENIAL_SPAN * 2 { self.denials.0 } else { 0 });
            self.span = now;
        }
        self.denials.0 += 1;
        let time = |tokens: f64| {
            let seconds = tokens / self.share.refill.max(1e-6);
            Duration::try_from_secs_f64(seconds).unwrap_or(PAUSE_TIMES.1)
        };
        let next = time(1.0 - self.tokens);
        // Hosts that were denied come back at about twice the rate of new tokens, however many
        // they are, so that thousands of hosts do not occupy the holder with denials.
        let queue = (self.denials.0 + self.denials.1).saturating_sub(FREE_DENIALS);
        let queue = time(f64::from(queue) / 2.0);
        TokenGrant { granted, next, pause: next.max(queue).clamp(PAUSE_TIMES.0, PAUSE_TIMES.1) }
    }
}

/// A customer that the configuration in force lacks.
#[derive(Clone, Debug)]
struct AbsentCustomer {
    /// Its bucket, if it had a share at this slot.
    bucket: Option<TokenBucket>,
    since: Duration,
}

/// The token buckets of the holder of one slot.
#[derive(Clone, Debug)]
pub struct TokenHolder {
    start: HolderStart,
    started: Duration,
    /// The time in which grants count; see [`QuotaLimits::counted`](super::QuotaLimits::counted).
    counted: Duration,
    buckets: HashMap<Rc<str>, TokenBucket>,
    /// Customers of the configuration, also those without a share at this slot.
    known: Vec<Rc<str>>,
    /// Customers that were in the configuration less than `counted` ago. One that returns has
    /// spent what it had spent: a version that lacks it by mistake is soon replaced.
    absent: HashMap<Rc<str>, AbsentCustomer>,
}

impl TokenHolder {
    /// A holder from `now` on, whose grants count for the time `counted`.
    pub fn new(start: HolderStart, counted: Duration, now: Duration) -> Self {
        let (buckets, absent) = (HashMap::new(), HashMap::new());
        Self { start, started: now, counted, buckets, known: Vec::new(), absent }
    }

    /// When this host became the holder.
    pub fn started(&self) -> Duration {
        self.started
    }

    /// Applies the shares of a configuration; `None` is a customer without a share at this slot.
    ///
    /// Buckets are clamped to a lower limit at once. A customer whose number of shares rose
    /// starts empty at the slots that it did not use before. One that returns soon has the bucket
    /// that it had.
    pub fn configure(
        &mut self,
        shares: impl IntoIterator<Item = (Rc<str>, Option<QuotaShare>)>,
        now: Duration,
    ) {
        let mut previous = std::mem::take(&mut self.buckets);
        let known = std::mem::take(&mut self.known);
        self.absent.retain(|_, customer| now < customer.since + self.counted);
        // A customer that an earlier holder knew may have spent its tokens there.
        let is_settled = now >= self.started + self.counted;
        for (customer, share) in shares {
            self.known.push(Rc::clone(&customer));
            let returned = self.absent.remove(&customer);
            let was_known = returned.is_some() || known.contains(&customer);
            let Some(share) = share else { continue };
            let bucket = previous.remove(&customer).or(returned.and_then(|absent| absent.bucket));
            let bucket = match bucket {
                Some(mut bucket) => {
                    bucket.fill(now);
                    bucket.share = share;
                    bucket.tokens = bucket.tokens.min(share.capacity);
                    bucket
                }
                None => {
                    let tokens = match self.start {
                        _ if was_known => 0.0,
                        _ if is_settled => share.capacity,
                        HolderStart::Full => share.capacity,
                        HolderStart::Allowance => share.allowance,
                        HolderStart::Empty => 0.0,
                    };
                    TokenBucket::new(share, tokens, now)
                }
            };
            self.buckets.insert(customer, bucket);
        }
        for customer in known {
            if !self.known.contains(&customer) {
                let bucket = previous.remove(&customer);
                self.absent.insert(customer, AbsentCustomer { bucket, since: now });
            }
        }
    }

    /// Grants up to `count` tokens; `None` if the customer has no share at this slot.
    pub fn take(&mut self, customer: &str, count: u32, now: Duration) -> Option<TokenGrant> {
        Some(self.buckets.get_mut(customer)?.take(count, now))
    }
}
