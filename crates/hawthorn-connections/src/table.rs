//! The open connections of a listener, with the tasks that wait for room.

use std::fmt;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::budget::ConnectionBudget;
use crate::budget::ConnectionKey;
use crate::budget::Full;
use crate::budget::Grant;
use crate::budget::Options;

/// Interval at which a full table is searched for connections that have become idle.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// Bytes of requests whose release is worth a search of the heap for free pages.
const MIN_TRIMMED_BYTES: usize = 2 << 20;

/// What is short when a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EvictionCause {
    /// The listener has as many connections as its limit.
    Connections,
    /// Callers' connections hold as much memory as their limit.
    Memory,
}

/// A connection that is closed to make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// What is short.
    pub cause: EvictionCause,
    /// Bytes that the connection holds.
    pub bytes: usize,
    /// Number of open connections.
    pub connections: usize,
    /// Bytes that all connections hold.
    pub held: usize,
}

type Observer = Box<dyn FnMut(Eviction) + Send>;

/// The open connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    started: Instant,
    state: Mutex<TableState>,
    closed: Notify,
    released: Notify,
}

struct TableState {
    budget: ConnectionBudget,
    tokens: SecondaryMap<ConnectionKey, CancellationToken>,
    /// Connections that are to read once memory is released.
    waiting: SecondaryMap<ConnectionKey, Waker>,
    on_eviction: Observer,
    /// Number of connections closed to make room, by cause.
    evictions: [u64; 2],
}

impl fmt::Debug for TableState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("TableState").field("budget", &self.budget).finish_non_exhaustive()
    }
}

impl ConnectionTable {
    /// Creates a table without connections. `on_eviction` must not block.
    pub fn new(options: Options, on_eviction: impl FnMut(Eviction) + Send + 'static) -> Arc<Self> {
        let state = TableState {
            budget: ConnectionBudget::new(options),
            tokens: SecondaryMap::new(),
            waiting: SecondaryMap::new(),
            on_eviction: Box::new(on_eviction),
            evictions: [0; 2],
        };
        Arc::new(Self {
            started: Instant::now(),
            state: Mutex::new(state),
            closed: Notify::new(),
            released: Notify::new(),
        })
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Adds a connection; waits until there is room for it.
    pub async fn open(self: &Arc<Self>) -> ConnectionSlot {
        loop {
            if let Some(slot) = self.try_open() {
                return slot;
            }
            let _closed = timeout(FULL_PAUSE, self.closed.notified()).await;
        }
    }

    /// Adds a connection, or has another one closed to make room for it.
    fn try_open(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let mut state = self.state();
        match state.budget.open(self.now()) {
            Ok(key) => {
                let evicted = CancellationToken::new();
                state.tokens.insert(key, evicted.clone());
                Some(ConnectionSlot { table: Arc::clone(self), key, evicted })
            }
            Err(Full::Evict(victim)) => {
                state.evict(victim, EvictionCause::Connections);
                None
            }
            Err(Full::Wait) => None,
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.state().budget.count()
    }

    /// Bytes that the connections hold.
    pub fn held(&self) -> usize {
        self.state().budget.held()
    }

    /// The number of connections that were closed for a cause since the last call.
    pub fn take_evictions(&self, cause: EvictionCause) -> u64 {
        std::mem::take(&mut self.state().evictions[cause as usize])
    }

    /// Closes a stalled connection if answers take more than the limit. Further ones are closed as
    /// it ends.
    pub fn relieve(&self) {
        let mut state = self.state();
        if let Some(victim) = state.budget.relieve(self.now()) {
            state.evict(victim, EvictionCause::Memory);
        }
    }

    /// Completes when requests have released memory that is worth returning to the system.
    pub async fn released(&self) {
        self.released.notified().await;
    }

    /// Changes a connection in a way that may release memory, and wakes those that wait for it.
    fn release(&self, change: impl FnOnce(&mut ConnectionBudget)) {
        let mut state = self.state();
        change(&mut state.budget);
        if state.budget.take_released(MIN_TRIMMED_BYTES).is_some() {
            self.released.notify_one();
        }
        for (_, waker) in std::mem::take(&mut state.waiting) {
            waker.wake();
        }
    }
}

impl TableState {
    fn evict(&mut self, key: ConnectionKey, cause: EvictionCause) {
        self.evictions[cause as usize] += 1;
        (self.on_eviction)(Eviction {
            cause,
            bytes: self.budget.held_by(key),
            connections: self.budget.count(),
            held: self.budget.held(),
        });
        if let Some(token) = self.tokens.get(key) {
            token.cancel();
        }
    }
}

/// The connection is to be closed to make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evicted;

/// An open connection; removed from its table on drop.
#[derive(Debug)]
pub struct ConnectionSlot {
    table: Arc<ConnectionTable>,
    key: ConnectionKey,
    evicted: CancellationToken,
}

impl ConnectionSlot {
    /// Cancelled when the connection is to be closed to make room for others.
    pub fn evicted(&self) -> &CancellationToken {
        &self.evicted
    }

    /// The number of bytes that may be read now, up to `wanted`; pending until there is room.
    pub fn poll_grant(&self, context: &mut Context<'_>, wanted: usize) -> Poll<usize> {
        let mut state = self.table.state();
        let victim = match state.budget.grant(self.key, self.table.now(), wanted) {
            Grant::Bytes(bytes) => return Poll::Ready(bytes),
            Grant::Refused => Some(self.key),
            Grant::Later(victim) => victim,
        };
        if let Some(victim) = victim {
            state.evict(victim, EvictionCause::Memory);
        }
        state.waiting.insert(self.key, context.waker().clone());
        Poll::Pending
    }

    /// As [`ConnectionSlot::poll_grant`], or returns when the connection is to be closed.
    ///
    /// # Errors
    /// When the connection is to be closed.
    pub async fn grant(&self, wanted: usize) -> Result<usize, Evicted> {
        let granted = poll_fn(|context| self.poll_grant(context, wanted));
        self.evicted.run_until_cancelled(granted).await.ok_or(Evicted)
    }

    /// Records that bytes were read.
    pub fn received(&self, bytes: usize) {
        self.table.state().budget.received(self.key, self.table.now(), bytes);
    }

    /// Records activity on a connection whose bytes are not counted.
    pub fn touch(&self) {
        self.table.state().budget.touch(self.key, self.table.now());
    }

    /// Whether a request with a body of this length could be kept, and its answer.
    pub fn admits(&self, body_bytes: usize) -> bool {
        let state = self.table.state();
        let fits = body_bytes == 0 || state.budget.admits(self.key, body_bytes);
        fits && !state.budget.is_exceeded()
    }

    /// Records that the request is complete; false if there is no room to keep it.
    pub fn complete(&self) -> bool {
        self.table.state().budget.complete(self.key)
    }

    /// Records that the request was dropped, and the rest of it is not kept.
    pub fn discard(&self) {
        self.table.release(|budget| budget.discard(self.key));
    }

    /// Records that the request was answered, or is no longer served.
    pub fn answered(&self) {
        self.table.release(|budget| budget.answered(self.key, self.table.now()));
    }

    /// Records that a part of the answer is ready to be sent.
    pub fn hold(&self, bytes: usize) {
        self.table.state().budget.hold(self.key, self.table.now(), bytes);
        self.table.relieve();
    }

    /// Records that bytes were written.
    pub fn sent(&self, bytes: usize) {
        self.table.state().budget.sent(self.key, self.table.now(), bytes);
    }

    /// Records that all that was ready was written.
    pub fn flushed(&self) {
        self.table.state().budget.flushed(self.key);
    }

    /// Whether a part of an answer has not been written.
    pub fn is_unsent(&self) -> bool {
        self.table.state().budget.is_unsent(self.key)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.table.state().tokens.remove(self.key);
        self.table.release(|budget| budget.close(self.key));
        self.table.closed.notify_one();
        self.table.relieve();
    }
}
