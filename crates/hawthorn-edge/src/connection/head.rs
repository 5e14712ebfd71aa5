//! A caller's connection as its requests come: how long a head takes, when it
//! came, from how far, and when its answer leaves.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hawthorn_route::send_deadline::CallerRtt;
use hawthorn_route::send_deadline::LagMeter;
use hawthorn_route::send_deadline::RequestArrival;
use hawthorn_route::send_deadline::RttMeter;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::process::clock::host_now;
use crate::process::turns;

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
    /// Heads that came on the connection.
    heads: Cell<u32>,
    /// When the head that came last did, read or not.
    came: Cell<Duration>,
    path: Cell<RttMeter>,
    /// When the answer that comes next was due, if it waited for that.
    due: Cell<Option<Duration>>,
    /// Lag of this host, which answers that were due tell of.
    lag: Rc<RefCell<LagMeter>>,
}

impl HeadWatch {
    /// A connection on which nothing came yet.
    pub(crate) fn new(lag: Rc<RefCell<LagMeter>>) -> Self {
        Self { lag, ..Self::default() }
    }

    /// What is known of the caller's clock with the head that came last.
    pub(crate) fn clock(&self) -> RequestArrival {
        let (came, fresh) = (self.came.get(), self.heads.get() <= 1);
        RequestArrival { arrived: came, new_connection: fresh, rtt: self.path.get().rtt() }
    }

    /// The answer that comes next was due at that time, or is sent as it is whole.
    pub(crate) fn due(&self, at: Option<Duration>) {
        self.due.set(at);
    }

    /// Bytes of an answer left.
    fn bytes_left(&self) {
        if let Some(due) = self.due.take() {
            self.lag.borrow_mut().learn(host_now().saturating_sub(due));
        }
    }

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

    fn bytes_came(&self, stream: &TcpStream) {
        if !self.answering.get() && self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
            self.changed.notify_one();
            self.head_began(stream);
        }
    }

    /// Notes when a head came and from how far.
    ///
    /// Failure: a host that is short of processor time reads a request long after
    /// it came, and hands targets time that its caller no longer has. The kernel
    /// knows how long the bytes have lain there, if it counts that; the loop's time
    /// without a rest is as long at least.
    fn head_began(&self, stream: &TcpStream) {
        let now = host_now();
        let report = hawthorn_socket::path(stream).ok();
        let lain = report.map_or(Duration::ZERO, |report| report.quiet);
        let age = lain.max(turns::busy_for(now));
        self.came.set(now.saturating_sub(age));
        self.heads.set(self.heads.get().saturating_add(1));
        let told = report.and_then(|report| Some((report.round_trip?, report.deviation)));
        if let Some((round_trip, deviation)) = told {
            let mut path = self.path.get();
            path.learn(CallerRtt { round_trip, deviation });
            self.path.set(path);
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
            self.watch.bytes_came(self.stream.inner());
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
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if written.is_ready() {
            self.watch.bytes_left();
        }
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        if written.is_ready() {
            self.watch.bytes_left();
        }
        written
    }
}
