//! Callers' connections, and the pages for readiness and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_connections::budget;
use hawthorn_connections::table::ConnectionSlot;
use hawthorn_connections::table::ConnectionTable;
use hawthorn_platform::process::READY_PATH;
use hawthorn_route::outcome::RefusalReason;
use hawthorn_route::retry_after::retry_after;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::Level;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::connection::evictions;
use crate::connection::head::CallerStream;
use crate::connection::head::CloseReason;
use crate::connection::head::HeadWatch;
use crate::connection::open::OpenBody;
use crate::connection::open::OpenRequest;
use crate::edge_event;
use crate::process::clock::host_now;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::request::serve;

/// Minimum size in bytes of a connection's buffer, which holds a request head. A limit raised above
/// the size closes the connection.
const MIN_HEAD_BUFFER: usize = 64 * 1024;
/// Requested size in bytes of a connection's receive buffer, which the kernel doubles.
const RECEIVE_BUFFER: u32 = 16 * 1024;
/// Number of connections that the kernel accepts ahead.
const ACCEPT_BACKLOG: u32 = 1024;
/// Time limit for answering a request whose connection makes room for others: they wait for it.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of connections to each of the pages, which are polled by a few clients.
const MAX_PAGE_CONNECTIONS: usize = 16;
/// Time limit for the head of a request for a page.
const PAGE_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size in bytes of such a head: the least that the HTTP library supports.
const PAGE_HEAD_BYTES: usize = 8 * 1024;
/// Pause after a connection could not be accepted, usually because file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time limit for writing the response to an incomplete head. It fits into one packet, so a caller
/// that reads receives it at once.
const REJECT_TIMEOUT: Duration = Duration::from_millis(100);
const METRICS_PATH: &str = "/metrics";

/// Listens for callers, whose connections inherit a small receive buffer: what a caller has sent and
/// the host has not read counts towards the memory of the machine.
pub(crate) fn bind_callers(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER) {
        edge_event!(Level::Warn, EdgeEvent::DutyFailed, "duty=receive-buffer error=\"{error}\"");
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Accepts the next connection; retries after errors of the operating system.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                edge_event!(Level::Warn, EdgeEvent::DutyFailed, "duty=accept error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts callers' connections until the process exits.
pub(crate) async fn callers(host: Rc<RouteHost>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let slot = host.callers.open().await;
        if let Err(error) = hawthorn_pool::enable_dead_peer_detection(&stream) {
            edge_event!(Level::Warn, EdgeEvent::DutyFailed, "duty=socket error=\"{error}\"");
            continue;
        }
        tokio::task::spawn_local(handle_connection(Rc::clone(&host), stream, Rc::new(slot)));
    }
}

/// Serves one caller's connection until it ends.
///
/// A caller that disconnects ends the connection, which drops its request's future and with it
/// every attempt of the request.
async fn handle_connection(host: Rc<RouteHost>, stream: TcpStream, slot: Rc<ConnectionSlot>) {
    let mut limits = host.routing.limits.subscribe();
    let buffer_bytes = limits.borrow().head_bytes.max(MIN_HEAD_BUFFER);
    let watch = Rc::new(HeadWatch::new(Rc::clone(&host.lag)));
    let caller = stream.peer_addr().ok().map(|address| address.ip());
    let service = {
        let (host, watch, slot) = (Rc::clone(&host), Rc::clone(&watch), Rc::clone(&slot));
        service_fn(move |request| {
            let open = OpenRequest::new(Rc::clone(&host), Rc::clone(&watch), Rc::clone(&slot));
            let (host, watch, slot) = (Rc::clone(&host), Rc::clone(&watch), Rc::clone(&slot));
            async move {
                let answer = serve::serve(host, request, &watch, &slot, caller).await;
                Ok::<_, Infallible>(answer.map(|body| OpenBody::new(body, open)))
            }
        })
    };
    let mut connection = http1::Builder::new()
        // The watch applies the time limits in force.
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .auto_date_header(false)
        .serve_connection(CallerStream::new(stream, Rc::clone(&watch), Rc::clone(&slot)), service);
    let mut closing = false;
    let mut evicted_until = None;
    let result = loop {
        tokio::select! {
            biased;
            result = &mut connection => break result,
            reason = watch.close_due(&mut limits, buffer_bytes) => {
                if let CloseReason::SlowHead(limit) = reason {
                    let stream = connection.into_parts().io.into_inner();
                    reject_head(&host, stream, HeadFault::Slow(limit)).await;
                    break Ok(());
                }
            }
            () = slot.evicted().cancelled(), if evicted_until.is_none() => {
                evicted_until = Some(Instant::now() + EVICTION_TIMEOUT);
                if watch.is_in_head() {
                    let stream = connection.into_parts().io.into_inner();
                    reject_head(&host, stream, HeadFault::Evicted).await;
                    break Ok(());
                }
                // A request that is being received is answered as refused.
                if watch.is_answering() && !slot.is_unsent() {
                    continue;
                }
                break Ok(());
            }
            () = sleep_until_some(evicted_until) => break Ok(()),
            () = host.closing.cancelled(), if !closing => {}
        }
        closing = true;
        watch.close();
        std::pin::Pin::new(&mut connection).graceful_shutdown();
    };
    // A disconnect is not an error of this host; the log line of the request records it.
    if let Err(error) = result
        && error.is_parse()
    {
        log_malformed_head(&host, &error);
    }
}

async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Why a request is rejected before its head is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadFault {
    /// It took longer than this limit.
    Slow(Duration),
    /// Its connection is closed to make room for others.
    Evicted,
}

impl HeadFault {
    fn response(self) -> String {
        let (status, outcome) = match self {
            Self::Slow(_) => ("408 Request Timeout", "slow-head"),
            Self::Evicted => ("503 Service Unavailable", "host-full"),
        };
        let retry_after = match self {
            Self::Slow(_) => String::new(),
            Self::Evicted => {
                let after = retry_after(RefusalReason::HostFull, None, &mut rand::rng());
                format!("retry-after: {:.3}\r\n", after.as_secs_f64())
            }
        };
        let length = outcome.len();
        format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{retry_after}connection: close\r\n\r\n\
             {outcome}"
        )
    }
}

/// Rejects a caller whose request head is incomplete; no part of the request was run.
async fn reject_head(host: &RouteHost, mut stream: TcpStream, fault: HeadFault) {
    match fault {
        HeadFault::Slow(limit) => {
            host.metrics.count_request("slow-head", limit);
            let millis = limit.as_millis();
            edge_event!(Level::Info, EdgeEvent::HeadRefused, "outcome=slow-head limit_ms={millis}");
        }
        HeadFault::Evicted => {
            host.metrics.count_request(RefusalReason::HostFull.into(), Duration::ZERO);
            host.metrics.count_refusal(RefusalReason::HostFull, 1);
        }
    }
    // A caller that does not read the response is disconnected.
    let response = fault.response();
    let _written = timeout(REJECT_TIMEOUT, stream.write_all(response.as_bytes())).await;
}

/// Records a head that the HTTP library has rejected, with 400, 414 or 431.
fn log_malformed_head(host: &RouteHost, error: &hyper::Error) {
    host.metrics.count_request("malformed-head", Duration::ZERO);
    let Some(unlogged) = host.rejection_log.take(host_now()) else { return };
    edge_event!(
        Level::Info,
        EdgeEvent::HeadRefused,
        "outcome=malformed-head error=\"{error}\" unlogged={unlogged}"
    );
}

/// Serves the pages for readiness and metrics.
pub(crate) async fn pages(host: Rc<RouteHost>, name: &'static str, listener: TcpListener) {
    let options = budget::Options::with_max_connections(MAX_PAGE_CONNECTIONS);
    let table = ConnectionTable::new(options, evictions::logger(name));
    loop {
        let stream = accept(&listener).await;
        let slot = table.open().await;
        let host = Rc::clone(&host);
        let service = service_fn(move |request| {
            let page = page(&host, &request);
            async move { Ok::<_, Infallible>(page) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(PAGE_HEAD_TIMEOUT)
            .max_buf_size(PAGE_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // Clients of these pages poll, so a failed response is not retried.
            let _ended = slot.evicted().run_until_cancelled(connection).await;
        });
    }
}

fn page(host: &RouteHost, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        READY_PATH if host.is_ready() => (StatusCode::OK, String::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        METRICS_PATH => (StatusCode::OK, host.metrics.text()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
