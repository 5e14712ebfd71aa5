//! What edits and claims need of a store, and what a call can come to.

use std::future::Future;

use hawthorn_types::platform::StoreEntry;
use hawthorn_types::platform::StorePut;
use quick_error::quick_error;
use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoStaticStr;

/// Why a call certainly had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunCause {
    /// Answered 429 until the call's deadline.
    RateLimited,
    /// No connection could be made.
    Unreachable,
    /// No connection became free before the call's deadline.
    QueueFull,
    /// The request could not be built, or is larger than the store takes.
    BadRequest,
}

/// Why it is not known whether a write had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UncertainCause {
    /// Answered 503.
    Outage,
    /// The deadline passed after the request was sent.
    Timeout,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The answer could not be read.
    BadAnswer,
}

quick_error! {
    /// Why a read gave nothing. A read has no effect, so all causes are equal to a caller.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ReadError {
        /// The store did not run it.
        NotRun(cause: NotRunCause) {
            display("the store did not run the read: {}", cause)
        }
        /// The store did not answer it.
        NoAnswer(cause: UncertainCause) {
            display("the store did not answer the read: {}", cause)
        }
    }
}

/// What a write came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written {
        /// The key's new revision.
        revision: u64,
    },
    /// The key had another revision; no effect.
    Conflict {
        /// The revision found; 0 when the key is absent.
        found: u64,
    },
    /// No effect.
    NotRun(NotRunCause),
    /// It may have taken effect, and may still.
    Uncertain(UncertainCause),
}

/// What a deletion came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeleteOutcome {
    /// The key is gone.
    Deleted,
    /// There was no such key.
    Absent,
    /// The key had another revision; no effect.
    Conflict,
    /// No effect.
    NotRun(NotRunCause),
    /// It may have taken effect, and may still.
    Uncertain(UncertainCause),
}

/// A key-value store with compare-and-swap.
pub trait Store: Send + Sync + 'static {
    /// Reads a key; `None` when it is absent.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoreEntry>, ReadError>> + Send;

    /// Writes a key if it has the expected revision.
    fn put(&self, key: &str, put: StorePut) -> impl Future<Output = WriteOutcome> + Send;

    /// Deletes a key if it has the expected revision.
    fn delete(&self, key: &str, expect: u64) -> impl Future<Output = DeleteOutcome> + Send;

    /// The keys that begin with `prefix`, without their values.
    fn list(&self, prefix: &str)
    -> impl Future<Output = Result<Vec<StoreEntry>, ReadError>> + Send;
}

impl<S: Store> Store for std::sync::Arc<S> {
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoreEntry>, ReadError>> + Send {
        S::get(self, key)
    }

    fn put(&self, key: &str, put: StorePut) -> impl Future<Output = WriteOutcome> + Send {
        S::put(self, key, put)
    }

    fn delete(&self, key: &str, expect: u64) -> impl Future<Output = DeleteOutcome> + Send {
        S::delete(self, key, expect)
    }

    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<StoreEntry>, ReadError>> + Send {
        S::list(self, prefix)
    }
}
