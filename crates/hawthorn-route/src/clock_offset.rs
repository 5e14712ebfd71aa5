//! Estimates the offset between a peer's monotonic clock and this host's.
//!
//! Hosts with little processor time read a gather request long after it arrived, or send it long
//! after it was created. If the request carried only the time left, that time would start when
//! the request is read, and targets would receive time that the caller no longer has. A request
//! that carries its deadlines by the reader's clock accounts for any delay in transit. Monotonic
//! clocks start at arbitrary instants, so each exchange is used to estimate the offset, to
//! within half of its round trip; the sample with the shortest round trip is used.
//!
//! The age of the reader's event loop iteration is no substitute: it excludes delays at the
//! sender, and time in a socket while the loop was idle or stopped. Wall clocks jump. Monotonic
//! clocks that include suspension do not.

use std::time::Duration;

/// Number of exchanges that are kept, the newest.
const SAMPLES: usize = 8;

/// The four timestamps of one exchange, the middle two by the peer's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// When this host sent the request.
    pub sent: Duration,
    /// When the peer received the request.
    pub received: Duration,
    /// When the peer sent the reply.
    pub replied: Duration,
    /// When this host received the reply.
    pub reply_received: Duration,
}

#[derive(Clone, Copy, Debug)]
struct ClockSample {
    round_trip: Duration,
    /// The peer's clock minus this host's, in nanoseconds.
    offset: i128,
}

/// The estimated offset of one peer's clock.
#[derive(Clone, Debug, Default)]
pub struct PeerClock {
    samples: [Option<ClockSample>; SAMPLES],
    next: usize,
}

fn nanos(time: Duration) -> i128 {
    i128::try_from(time.as_nanos()).unwrap_or(i128::MAX)
}

impl PeerClock {
    /// Records an exchange; returns false if its timestamps are inconsistent.
    ///
    /// A peer's clock starts again when its machine reboots. Samples that disagree with the new
    /// one by more than the sum of both round trips are dropped.
    pub fn record(&mut self, exchange: &Exchange) -> bool {
        let Exchange { sent, received, replied, reply_received } = *exchange;
        let (Some(total), Some(at_peer)) =
            (reply_received.checked_sub(sent), replied.checked_sub(received))
        else {
            return false;
        };
        let Some(round_trip) = total.checked_sub(at_peer) else { return false };
        let doubled = nanos(received) - nanos(sent) + nanos(replied) - nanos(reply_received);
        let sample = ClockSample { round_trip, offset: doubled / 2 };
        let agrees = |known: &ClockSample| {
            let difference = (known.offset - sample.offset).unsigned_abs();
            difference <= (known.round_trip + round_trip).as_nanos()
        };
        if !self.best().is_none_or(|known| agrees(&known)) {
            *self = Self::default();
        }
        self.samples[self.next] = Some(sample);
        self.next = (self.next + 1) % SAMPLES;
        true
    }

    fn best(&self) -> Option<ClockSample> {
        self.samples.iter().flatten().min_by_key(|sample| sample.round_trip).copied()
    }

    /// The shortest round trip to the peer.
    pub fn round_trip(&self) -> Option<Duration> {
        self.best().map(|sample| sample.round_trip)
    }

    /// Converts a time of this host's clock to the peer's, as a lower bound; `None` before the
    /// first exchange.
    pub fn to_peer_time(&self, at: Duration) -> Option<Duration> {
        let ClockSample { round_trip, offset } = self.best()?;
        let peer_time = nanos(at) + offset - nanos(round_trip / 2);
        u64::try_from(peer_time.max(0)).ok().map(Duration::from_nanos)
    }
}

/// Maximum time left of a request. No caller waits longer, so that a greater value is invalid.
const MAX_TIME_LEFT: Duration = Duration::from_secs(3600);

/// The deadlines of a gather request as sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentDeadlines {
    /// Time left until the deadline when the request was created.
    pub time_left: Duration,
    /// Time left until the soft deadline when the request was created.
    pub soft_time_left: Duration,
    /// The deadline and the soft deadline by the reader's clock, if the sender knows its offset.
    pub reader_deadlines: Option<(Duration, Duration)>,
}

/// The deadlines of a gather request by its reader's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalDeadlines {
    /// When the caller stops waiting.
    pub deadline: Duration,
    /// When the parts start to lose value.
    pub soft_deadline: Duration,
}

/// Converts the deadlines of a gather request that is handled at `now`, and arrived up to `unread`
/// earlier; `None` if they are invalid.
///
/// A request may be queued for most of a second at its sender, or at a reader with little
/// processor time. If its time left were counted from when it is read, targets would receive time
/// that the caller no longer has. If the sender knows the reader's clock, the request carries its
/// deadlines; otherwise it is assumed to have waited for `unread`. A wrong clock never extends the
/// time left.
///
/// Parts are due earlier by the reader's scheduling delay `lag` instead of the sender's, because
/// the delay of a host with an eighth of a core is several times that of its gatherer.
pub fn to_local(
    sent: &SentDeadlines,
    now: Duration,
    unread: Duration,
    lag: Duration,
) -> Option<LocalDeadlines> {
    let SentDeadlines { time_left, soft_time_left, reader_deadlines } = *sent;
    if time_left > MAX_TIME_LEFT || soft_time_left > MAX_TIME_LEFT {
        return None;
    }
    let Some((deadline, soft_deadline)) = reader_deadlines else {
        let arrived = now.saturating_sub(unread);
        let soft_deadline = (arrived + soft_time_left).saturating_sub(lag);
        return Some(LocalDeadlines { deadline: arrived + time_left, soft_deadline });
    };
    let is_invalid = |time: Duration| time + MAX_TIME_LEFT < now || time > now + MAX_TIME_LEFT;
    if is_invalid(deadline) || is_invalid(soft_deadline) {
        return None;
    }
    let soft_deadline = soft_deadline.min(now + soft_time_left).saturating_sub(lag);
    Some(LocalDeadlines { deadline: deadline.min(now + time_left), soft_deadline })
}
