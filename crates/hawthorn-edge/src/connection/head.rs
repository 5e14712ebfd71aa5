//! Monitors a caller's connection: when a request head starts to arrive, how long it takes, the
//! round-trip time, when the response is sent, and how long the connection is idle.

use std::cell::Cell;
use std::cell::RefCell;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use hawthorn_connections::budget::READ_BYTES;
use hawthorn_connections::table::ConnectionSlot;
use hawthorn_route::document::CallerLimits;
use hawthorn_route::send_deadline::CallerRtt;
use hawthorn_route::send_deadline::LagMeter;
use hawthorn_route::send_deadline::RequestArrival;
use hawthorn_route::send_deadline::RttMeter;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::process::clock::host_now;
use crate::process::loop_clock;
use crate::process::loop_clock::SOCKET_READ_YIELDS;

/// How long a head may have waited before it was read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UnreadTime {
    /// The estimate that its deadline is based on.
    pub(crate) estimate: Duration,
    /// The time that the kernel reports; zero if it does not measure it.
    pub(crate) in_socket: Duration,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// No request, since the last write.
    Idle(Instant),
    /// A head is incomplete, since its first byte.
    Head(Instant),
    /// A request is being answered: bytes that arrive belong to its body.
    Answering,
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// A head has been incomplete for longer than this limit.
    SlowHead(Duration),
    /// The connection has been idle for longer than the limit.
    Idle,
    /// The limit on the size of a head exceeds the connection's buffer.
    SmallBuffer,
}

/// Timing of the request heads on one connection.
#[derive(Debug)]
pub(crate) struct HeadWatch {
    phase: Cell<ConnectionPhase>,
    changed: Notify,
    /// Whether the connection closes after the current request.
    closing: Cell<bool>,
    /// Number of heads received on the connection.
    head_count: Cell<u32>,
    /// When the last head arrived at the socket, which may be before it was read.
    arrived: Cell<Duration>,
    unread: Cell<UnreadTime>,
    rtt: Cell<RttMeter>,
    /// The scheduled send time of the next answer; `None` if it is sent as soon as it is
    /// complete.
    next_send_time: Cell<Option<Duration>>,
    /// Scheduling delay of this host, updated from answers with a scheduled send time.
    lag: Rc<RefCell<LagMeter>>,
}

impl HeadWatch {
    /// Creates the watch of a connection that has received nothing.
    pub(crate) fn new(lag: Rc<RefCell<LagMeter>>) -> Self {
        Self {
            phase: Cell::new(ConnectionPhase::Idle(Instant::now())),
            changed: Notify::new(),
            closing: Cell::default(),
            head_count: Cell::default(),
            arrived: Cell::default(),
            unread: Cell::default(),
            rtt: Cell::default(),
            next_send_time: Cell::default(),
            lag,
        }
    }

    /// Arrival time and round-trip time of the last head.
    pub(crate) fn arrival(&self) -> RequestArrival {
        let (arrived, new_connection) = (self.arrived.get(), self.head_count.get() <= 1);
        RequestArrival { arrived, new_connection, rtt: self.rtt.get().rtt() }
    }

    /// How long the last head may have waited before it was read.
    pub(crate) fn unread(&self) -> UnreadTime {
        self.unread.get()
    }

    /// Sets the scheduled send time of the next answer, or none.
    pub(crate) fn set_send_time(&self, at: Option<Duration>) {
        self.next_send_time.set(at);
    }

    /// Records the scheduling delay of an answer when its first bytes are written.
    fn on_write(&self) {
        if let Some(due) = self.next_send_time.take() {
            self.lag.borrow_mut().record(host_now().saturating_sub(due));
        }
        // The end of a long answer is written after its body was dropped.
        if let ConnectionPhase::Idle(_) = self.phase.get() {
            self.phase.set(ConnectionPhase::Idle(Instant::now()));
        }
    }

    /// Records that a head is complete.
    pub(crate) fn head_complete(&self) {
        self.enter(ConnectionPhase::Answering);
    }

    /// Records that the answer was sent; further bytes belong to the next head.
    pub(crate) fn answered(&self) {
        self.enter(ConnectionPhase::Idle(Instant::now()));
    }

    /// Whether a head is incomplete.
    pub(crate) fn is_in_head(&self) -> bool {
        matches!(self.phase.get(), ConnectionPhase::Head(_))
    }

    /// Whether a request is being received or answered.
    pub(crate) fn is_answering(&self) -> bool {
        self.phase.get() == ConnectionPhase::Answering
    }

    /// Records that the connection closes after the current request.
    pub(crate) fn close(&self) {
        self.closing.set(true);
    }

    fn enter(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.changed.notify_one();
    }

    fn on_read(&self, stream: &TcpStream) {
        if let ConnectionPhase::Idle(_) = self.phase.get() {
            self.enter(ConnectionPhase::Head(Instant::now()));
            self.head_began(stream);
        }
    }

    /// Records the arrival time of a head and the caller's round-trip time.
    ///
    /// A host without processor time reads a request long after it arrived, and would pass
    /// targets a deadline that its caller no longer has. The kernel reports how long the bytes
    /// have been in the socket, if it measures that; they may also have waited since the event
    /// loop had last read all that arrived.
    fn head_began(&self, stream: &TcpStream) {
        let now = host_now();
        let report = hawthorn_socket::tcp_info(stream).ok();
        let in_socket = report.map_or(Duration::ZERO, |report| report.since_received);
        let estimate = in_socket.max(loop_clock::busy_for(now));
        self.unread.set(UnreadTime { estimate, in_socket });
        self.arrived.set(now.saturating_sub(estimate));
        self.head_count.set(self.head_count.get().saturating_add(1));
        let measured = report.and_then(|report| Some((report.round_trip?, report.deviation)));
        if let Some((round_trip, deviation)) = measured {
            let mut rtt = self.rtt.get();
            rtt.record(CallerRtt { round_trip, deviation });
            self.rtt.set(rtt);
        }
    }

    /// Returns when the connection, with a buffer of `buffer_bytes`, is to be closed by the limits
    /// in force.
    ///
    /// Without the limit on heads, callers could hold connections open by sending a byte now and
    /// then, possibly as an attack. The host itself may have been stalled while a request was in
    /// its sockets, so the sockets are read first.
    pub(crate) async fn close_due(
        &self,
        limits: &mut watch::Receiver<CallerLimits>,
        buffer_bytes: usize,
    ) -> CloseReason {
        loop {
            let in_force = *limits.borrow_and_update();
            let phase = self.phase.get();
            let due = self.next_close(&in_force, buffer_bytes);
            let expired = async {
                match due {
                    Some((at, _)) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = expired => {}
                () = self.changed.notified() => continue,
                // The host, which owns the sender, outlives the connection.
                Ok(()) = limits.changed() => continue,
            }
            for _ in 0..SOCKET_READ_YIELDS {
                yield_now().await;
            }
            if let Some((_, reason)) = due
                && self.phase.get() == phase
                && *limits.borrow() == in_force
            {
                return reason;
            }
        }
    }

    /// When and why the connection is to be closed if nothing changes.
    fn next_close(
        &self,
        limits: &CallerLimits,
        buffer_bytes: usize,
    ) -> Option<(Instant, CloseReason)> {
        let small = limits.head_bytes > buffer_bytes;
        match self.phase.get() {
            ConnectionPhase::Head(since) => {
                Some((since + limits.head_time, CloseReason::SlowHead(limits.head_time)))
            }
            _ if self.closing.get() => None,
            _ if small => Some((Instant::now(), CloseReason::SmallBuffer)),
            ConnectionPhase::Idle(since) => Some((since + limits.idle_time, CloseReason::Idle)),
            ConnectionPhase::Answering => None,
        }
    }
}

/// A caller's connection that notifies its watch of reads and writes, and reads what its slot grants.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TokioIo<TcpStream>,
    watch: Rc<HeadWatch>,
    slot: Rc<ConnectionSlot>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, watch: Rc<HeadWatch>, slot: Rc<ConnectionSlot>) -> Self {
        Self { stream: TokioIo::new(stream), watch, slot }
    }

    fn on_written(&self, written: &Poll<std::io::Result<usize>>) {
        if let Poll::Ready(result) = written {
            self.watch.on_write();
            self.slot.sent(*result.as_ref().unwrap_or(&0));
        }
    }

    /// Reads as much as the slot grants.
    fn poll_read_granted(
        &mut self,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let granted = ready!(self.slot.poll_grant(context, buffer.remaining().min(READ_BYTES)));
        let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
        let mut part = ReadBuf::uninit(&mut bytes[..granted]);
        ready!(Pin::new(&mut self.stream).poll_read(context, part.unfilled()))?;
        buffer.put_slice(part.filled());
        self.slot.received(part.filled().len());
        Poll::Ready(Ok(()))
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
        let read = self.poll_read_granted(context, buffer);
        if read.is_ready() {
            self.watch.on_read(self.stream.inner());
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
        self.on_written(&written);
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.slot.flushed();
        }
        flushed
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
        self.on_written(&written);
        written
    }
}
