//! The store interface that edits and claims use, and the outcomes of its calls.

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
    /// The store returned 429 until the deadline of the call.
    RateLimited,
    /// No connection could be established.
    Unreachable,
    /// No connection became available before the deadline of the call.
    QueueFull,
    /// The request could not be built, or exceeds the size limit of the store.
    BadRequest,
}

/// Why it is unknown whether a write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum UncertainCause {
    /// The store returned 503.
    Outage,
    /// The deadline passed after the request was sent.
    Timeout,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The answer could not be decoded.
    BadAnswer,
}

quick_error! {
    /// Why a read failed. A read has no effect, so callers may treat all causes alike.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ReadError {
        /// The store did not run the read.
        NotRun(cause: NotRunCause) {
            display("the store did not run the read: {}", cause)
        }
        /// The store did not return a usable answer.
        NoAnswer(cause: UncertainCause) {
            display("the store did not answer the read: {}", cause)
        }
    }
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written {
        /// The key's new revision.
        revision: u64,
    },
    /// The key had another revision; the write had no effect.
    Conflict {
        /// The revision found; 0 when the key is absent.
        found: u64,
    },
    /// The call had no effect.
    NotRun(NotRunCause),
    /// The call may have taken effect, or may still do so.
    Uncertain(UncertainCause),
}

/// Outcome of a deletion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeleteOutcome {
    /// The key was deleted.
    Deleted,
    /// The key did not exist.
    Absent,
    /// The key had another revision; the deletion had no effect.
    Conflict,
    /// The call had no effect.
    NotRun(NotRunCause),
    /// The call may have taken effect, or may still do so.
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

    /// Lists the entries whose keys start with `prefix`, without their values.
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
