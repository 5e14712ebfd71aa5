//! Division of memory and descriptors among the open connections of a listener.
//!
//! Handles crowds of callers that stall: requests that stop short of their end, answers that are not
//! read, connections that are only open. What a connection may add is decided before it is read, and
//! the connections that stall make room for those that do not.

use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

new_key_type! {
    /// An open connection.
    pub struct ConnectionKey;
}

/// Bytes of a request that are granted to each connection whatever the others hold, so that requests
/// without a large head or body are served beside a crowd.
pub const FREE_BYTES: usize = 4096;
/// Maximum number of bytes granted at once.
pub const READ_BYTES: usize = 8 * 1024;

/// Limits on the connections of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of bytes of incomplete and unanswered requests and of unsent answers, beyond
    /// [`FREE_BYTES`] for each connection.
    pub max_bytes: usize,
    /// Time without progress after which a connection counts as stalled.
    pub stall: Duration,
    /// Time after which a request or an answer that is slower than `min_rate` counts as stalled.
    pub grace: Duration,
    /// Bytes per second.
    pub min_rate: usize,
}

impl Options {
    /// Limits on the number of connections only.
    pub fn with_max_connections(max_connections: usize) -> Self {
        Self { max_connections, ..Self::default() }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: usize::MAX,
            max_bytes: usize::MAX,
            stall: Duration::from_millis(250),
            grace: Duration::from_millis(500),
            min_rate: 64 * 1024,
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request.
    Idle,
    /// A request is incomplete, since its first byte.
    Receiving { began: Duration },
    /// A request is complete and not yet answered.
    Serving,
    /// The rest of a request is read and dropped.
    Discarding,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    /// Bytes of the request.
    received: usize,
    /// Bytes of answers that the caller has not taken.
    unsent: usize,
    /// Bytes that the caller has taken since `unsent` was last zero, and when it was.
    taken: usize,
    answering_since: Duration,
    /// The last progress.
    active: Duration,
    /// Whether the connection is to read more once there is room.
    waiting: bool,
    evicted: bool,
}

impl Connection {
    fn held(&self) -> usize {
        self.received.saturating_sub(FREE_BYTES) + self.unsent
    }

    fn totals(&self) -> Totals {
        let held = self.held();
        Totals {
            held,
            serving: if self.phase == Phase::Serving { held } else { 0 },
            evicted_held: if self.evicted { held } else { 0 },
            evicted: usize::from(self.evicted),
        }
    }

    /// When the connection counts as stalled unless it makes progress; `None` while it depends on
    /// this host alone.
    fn stalled_at(&self, options: &Options) -> Option<Duration> {
        let at_rate = |since: Duration, bytes: usize| {
            let expected = Duration::from_secs_f64(bytes as f64 / options.min_rate as f64);
            since + options.grace + expected
        };
        let too_slow = if self.unsent > 0 {
            at_rate(self.answering_since, self.taken)
        } else {
            match self.phase {
                Phase::Receiving { began } if !self.waiting => at_rate(began, self.received),
                _ => return None,
            }
        };
        Some(too_slow.min(self.active + options.stall))
    }
}

/// Sums over all connections.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    /// Bytes held.
    held: usize,
    /// Bytes held by requests that are being served.
    serving: usize,
    /// Bytes held by connections that are being closed, and their number.
    evicted_held: usize,
    evicted: usize,
}

impl Totals {
    fn replace(&mut self, before: &Self, after: &Self) {
        self.held = self.held + after.held - before.held;
        self.serving = self.serving + after.serving - before.serving;
        self.evicted_held = self.evicted_held + after.evicted_held - before.evicted_held;
        self.evicted = self.evicted + after.evicted - before.evicted;
    }
}

/// Whether a connection may read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// It may read up to this number of bytes.
    Bytes(usize),
    /// It may read when a connection has released memory; the one given is to be closed for that.
    Later(Option<ConnectionKey>),
    /// There is no room, and none to be made.
    Refused,
}

/// Why a connection is not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// The connection is to be closed to make room.
    Evict(ConnectionKey),
    /// Connections that can be closed are not known yet, or are being closed.
    Wait,
}

/// The connections of a listener.
#[derive(Debug)]
pub struct ConnectionBudget {
    options: Options,
    connections: SlotMap<ConnectionKey, Connection>,
    totals: Totals,
    /// Bytes of requests that were dropped or answered.
    released: usize,
}

impl ConnectionBudget {
    /// Creates a budget without connections.
    pub fn new(options: Options) -> Self {
        Self { options, connections: SlotMap::with_key(), totals: Totals::default(), released: 0 }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Bytes that all connections hold.
    pub fn held(&self) -> usize {
        self.totals.held
    }

    /// Bytes of requests that were dropped or answered since the last call that returned them;
    /// `None` if they are fewer than `min_bytes`.
    pub fn take_released(&mut self, min_bytes: usize) -> Option<usize> {
        (self.released >= min_bytes).then(|| std::mem::take(&mut self.released))
    }

    /// Bytes that a connection holds.
    pub fn held_by(&self, key: ConnectionKey) -> usize {
        self.connections.get(key).map_or(0, Connection::held)
    }

    /// Whether a connection has an answer that its caller has not taken.
    pub fn is_unsent(&self, key: ConnectionKey) -> bool {
        self.connections.get(key).is_some_and(|connection| connection.unsent > 0)
    }

    /// Whether answers have taken more than the limit.
    pub fn is_exceeded(&self) -> bool {
        self.totals.held > self.options.max_bytes
    }

    /// Adds a connection.
    ///
    /// # Errors
    /// When there are as many as the limit. The connection that has been idle or stalled for longest
    /// makes room; those that are being served do not.
    pub fn open(&mut self, now: Duration) -> Result<ConnectionKey, Full> {
        if self.connections.len() < self.options.max_connections {
            let connection = Connection {
                phase: Phase::Idle,
                received: 0,
                unsent: 0,
                taken: 0,
                answering_since: now,
                active: now,
                waiting: false,
                evicted: false,
            };
            return Ok(self.connections.insert(connection));
        }
        if self.totals.evicted > 0 {
            return Err(Full::Wait);
        }
        let idle_at = |connection: &Connection| {
            let is_idle = connection.phase == Phase::Idle && connection.unsent == 0;
            is_idle.then_some(connection.active + self.options.stall)
        };
        let victim = self.most_overdue(now, |connection| {
            idle_at(connection).or_else(|| connection.stalled_at(&self.options))
        });
        let Some(victim) = victim else { return Err(Full::Wait) };
        self.evict(victim);
        Err(Full::Evict(victim))
    }

    /// The connection, not yet evicted, that `due` says has been overdue for longest.
    fn most_overdue(
        &self,
        now: Duration,
        due: impl Fn(&Connection) -> Option<Duration>,
    ) -> Option<ConnectionKey> {
        let overdue = self.connections.iter().filter(|(_, connection)| !connection.evicted);
        let overdue = overdue.filter_map(|(key, connection)| Some((due(connection)?, key)));
        let (at, key) = overdue.min_by_key(|(at, _)| *at)?;
        (at < now).then_some(key)
    }

    fn evict(&mut self, key: ConnectionKey) {
        self.update(key, |connection| connection.evicted = true);
    }

    /// Decides whether a connection may read up to `wanted` bytes.
    pub fn grant(&mut self, key: ConnectionKey, now: Duration, wanted: usize) -> Grant {
        let Some(connection) = self.connections.get(key).copied() else { return Grant::Refused };
        match connection.phase {
            Phase::Discarding => return Grant::Bytes(wanted),
            // The beginning of the next request.
            Phase::Serving => return Grant::Bytes(wanted.min(FREE_BYTES)),
            Phase::Idle | Phase::Receiving { .. } => {}
        }
        if connection.evicted {
            return Grant::Later(None);
        }
        let wanted = wanted.min(READ_BYTES);
        let free = FREE_BYTES.saturating_sub(connection.received);
        let room = self.options.max_bytes.saturating_sub(self.totals.held);
        let is_alone = self.totals.held == connection.held();
        if wanted <= room.saturating_add(free) || is_alone {
            return Grant::Bytes(wanted);
        }
        if free > 0 {
            return Grant::Bytes(free);
        }
        let grant = self.make_room(now);
        self.update(key, |connection| {
            connection.waiting = grant != Grant::Refused;
            connection.evicted = grant == Grant::Refused;
        });
        grant
    }

    fn make_room(&mut self, now: Duration) -> Grant {
        if self.totals.evicted_held > 0 {
            return Grant::Later(None);
        }
        let stalled = |connection: &Connection| {
            let holds = connection.held() > 0;
            connection.stalled_at(&self.options).filter(|_| holds)
        };
        match self.most_overdue(now, stalled) {
            Some(victim) => {
                self.evict(victim);
                Grant::Later(Some(victim))
            }
            None => Grant::Refused,
        }
    }

    /// A connection to close because answers have taken more than the limit.
    pub fn relieve(&mut self, now: Duration) -> Option<ConnectionKey> {
        if !self.is_exceeded() {
            return None;
        }
        match self.make_room(now) {
            Grant::Later(victim) => victim,
            Grant::Bytes(_) | Grant::Refused => None,
        }
    }

    fn update(&mut self, key: ConnectionKey, change: impl FnOnce(&mut Connection)) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let (before, received) = (connection.totals(), connection.received);
        change(connection);
        self.released += received.saturating_sub(connection.received.max(FREE_BYTES));
        self.totals.replace(&before, &connection.totals());
    }

    /// Records that bytes of a request were read.
    pub fn received(&mut self, key: ConnectionKey, now: Duration, bytes: usize) {
        self.update(key, |connection| {
            connection.waiting = false;
            connection.active = now;
            match connection.phase {
                Phase::Idle => {
                    connection.phase = Phase::Receiving { began: now };
                    connection.received += bytes;
                }
                Phase::Receiving { .. } => connection.received += bytes,
                Phase::Serving | Phase::Discarding => {}
            }
        });
    }

    /// Whether a complete request with `bytes` more than it has now could be kept. Requests that
    /// are being served hold at most three quarters of the memory: they cannot make room for others.
    pub fn admits(&self, key: ConnectionKey, bytes: usize) -> bool {
        let kept = self.totals.serving;
        kept == 0 || kept + self.held_by(key) + bytes <= self.options.max_bytes / 4 * 3
    }

    /// Records that a request is complete; false if there is no room to keep it.
    pub fn complete(&mut self, key: ConnectionKey) -> bool {
        if self.held_by(key) > 0 && !self.admits(key, 0) {
            return false;
        }
        self.update(key, |connection| connection.phase = Phase::Serving);
        true
    }

    /// Records that a request was dropped and the rest of it is not kept.
    pub fn discard(&mut self, key: ConnectionKey) {
        self.update(key, |connection| {
            connection.phase = Phase::Discarding;
            connection.received = 0;
            connection.waiting = false;
        });
    }

    /// Records that a request was answered, or is no longer served.
    pub fn answered(&mut self, key: ConnectionKey, now: Duration) {
        self.update(key, |connection| {
            connection.phase = Phase::Idle;
            connection.received = 0;
            connection.active = now;
        });
    }

    /// Records that a part of an answer is ready to be sent.
    pub fn hold(&mut self, key: ConnectionKey, now: Duration, bytes: usize) {
        self.update(key, |connection| {
            if connection.unsent == 0 {
                connection.taken = 0;
                connection.answering_since = now;
                connection.active = now;
            }
            connection.unsent += bytes;
        });
    }

    /// Records that bytes were written.
    pub fn sent(&mut self, key: ConnectionKey, now: Duration, bytes: usize) {
        self.update(key, |connection| {
            connection.unsent = connection.unsent.saturating_sub(bytes);
            connection.taken += bytes;
            connection.active = now;
        });
    }

    /// Records that all parts of answers were written.
    pub fn flushed(&mut self, key: ConnectionKey) {
        self.update(key, |connection| connection.unsent = 0);
    }

    /// Records activity on a connection whose bytes are not counted.
    pub fn touch(&mut self, key: ConnectionKey, now: Duration) {
        self.update(key, |connection| connection.active = now);
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.totals.replace(&connection.totals(), &Totals::default());
            self.released += connection.held();
        }
    }
}
