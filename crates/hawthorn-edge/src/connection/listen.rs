//! Callers' connections, and the small pages for readiness and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthorn_platform::process::READY_PATH;
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
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::edge_event;
use crate::process::events::EdgeEvent;
use crate::process::host::RouteHost;
use crate::request::serve;

/// The HTTP library takes no smaller buffer for a request's head.
const LEAST_HEAD_BYTES: usize = 8192;
/// Pause after a connection could not be accepted: out of descriptors, mostly.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The path of metrics.
const METRICS_PATH: &str = "/metrics";

/// The next connection; outlives errors of the system.
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

/// Takes callers' connections for as long as the process lives.
pub(crate) async fn callers(host: Rc<RouteHost>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        if let Err(error) = hawthorn_pool::end_when_silent(&stream) {
            edge_event!(Level::Warn, EdgeEvent::DutyFailed, "duty=socket error=\"{error}\"");
            continue;
        }
        tokio::task::spawn_local(hold(Rc::clone(&host), stream));
    }
}

/// Serves one caller's connection to its end.
///
/// A caller that leaves ends the connection, which drops its request's future
/// and with it every attempt of the request.
async fn hold(host: Rc<RouteHost>, stream: TcpStream) {
    host.connections.set(host.connections.get() + 1);
    let limits = host.beliefs.table().map(|table| table.document().limits).unwrap_or_default();
    let service = {
        let host = Rc::clone(&host);
        service_fn(move |request| {
            let host = Rc::clone(&host);
            async move { Ok::<_, Infallible>(serve::serve(host, request).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counts from the end of the answer before: an idle connection too.
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = host.closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    // Callers leave and send nonsense as they like; the request's own line tells.
    drop(ended);
    host.connections.set(host.connections.get() - 1);
}

/// Serves the pages of readiness and metrics.
pub(crate) async fn pages(host: Rc<RouteHost>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let host = Rc::clone(&host);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let page = page(&host, &request);
                async move { Ok::<_, Infallible>(page) }
            });
            // Whoever asks asks again.
            let _ended =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
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
