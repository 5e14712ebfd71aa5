//! How long a caller takes to send a request's head.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// Turns of the event loop in which bytes that lie in the socket are read.
const READING_TURNS: usize = 3;

/// Where a connection is between two requests.
#[derive(Debug, Default)]
pub(crate) struct HeadWatch {
    /// When the first byte of a head came that is not whole yet.
    begun: Cell<Option<Instant>>,
    /// A request is being answered: what comes is its body.
    answering: Cell<bool>,
    changed: Notify,
}

impl HeadWatch {
    /// A head is whole.
    pub(crate) fn whole(&self) {
        self.answering.set(true);
        self.begun.set(None);
        self.changed.notify_one();
    }

    /// The request has its answer; what comes next is another's head.
    pub(crate) fn answered(&self) {
        self.answering.set(false);
    }

    fn bytes_came(&self) {
        if !self.answering.get() && self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
            self.changed.notify_one();
        }
    }

    /// Returns when a head has been on its way for longer than `most`.
    ///
    /// Failure: a caller, or many of them on purpose, sends a byte now and then
    /// and holds a connection with each. The host itself may have stood still
    /// while the rest of a head lay in its sockets, so these are read first.
    pub(crate) async fn too_slow(&self, most: Duration) {
        loop {
            let Some(begun) = self.begun.get() else {
                self.changed.notified().await;
                continue;
            };
            tokio::select! {
                () = sleep_until(begun + most) => {}
                () = self.changed.notified() => continue,
            }
            for _ in 0..READING_TURNS {
                yield_now().await;
            }
            if self.begun.get() == Some(begun) {
                return;
            }
        }
    }
}

/// A caller's connection that tells its watch when bytes come.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TokioIo<TcpStream>,
    watch: Rc<HeadWatch>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, watch: Rc<HeadWatch>) -> Self {
        Self { stream: TokioIo::new(stream), watch }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_ready() {
            self.watch.bytes_came();
        }
        read
    }
}

impl Write for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }
}
