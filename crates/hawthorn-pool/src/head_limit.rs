//! A limit on the bytes that are read until the head of an answer is complete.
//!
//! Handles targets that send bytes without end which never make up a head, for example interim
//! responses. The HTTP library reads and drops these for as long as they arrive, in one poll, and no
//! other task of the thread would run meanwhile.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::net::tcp::OwnedReadHalf;

/// Maximum number of bytes up to the end of an answer's head.
const MAX_HEAD_BYTES: u64 = 64 * 1024;

/// The bytes that may still be read from a connection.
#[derive(Clone, Debug)]
pub(crate) struct HeadBudget(Arc<AtomicU64>);

impl HeadBudget {
    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicU64::new(MAX_HEAD_BYTES)))
    }

    /// A head is awaited.
    pub(crate) fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// The head is complete; its body has limits of its own.
    pub(crate) fn end(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }
}

/// Reads from a connection, which appears to end when the budget is spent.
#[derive(Debug)]
pub(crate) struct LimitedReader {
    reader: Take<OwnedReadHalf>,
    budget: HeadBudget,
}

impl LimitedReader {
    pub(crate) fn new(reader: OwnedReadHalf, budget: HeadBudget) -> Self {
        Self { reader: reader.take(0), budget }
    }
}

impl AsyncRead for LimitedReader {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let left = this.budget.0.load(Ordering::Relaxed);
        this.reader.set_limit(left);
        let read = Pin::new(&mut this.reader).poll_read(context, buffer);
        if left != u64::MAX {
            this.budget.0.store(this.reader.limit(), Ordering::Relaxed);
        }
        read
    }
}
