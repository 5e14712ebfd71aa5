//! Real `route` processes whose limits on callers change while callers hold connections open.

mod support;

use std::time::Duration;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::operator::LimitValues;
use hawthorn_standin::route::target::TargetFault;
use serde_json::Value;
use serde_json::json;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Version in force when the connections are opened; the next one has the changed limits.
const FIRST_VERSION: u64 = 3;
/// More than hosts reserve for a request's head if the limit is the usual one.
const LARGE_LIMIT: usize = 256 * 1024;

/// A host with one target and one open connection of a caller, on which a request was answered.
struct OpenConnection {
    store: RouteStore,
    target: RouteTarget,
    host: RouteHost,
    stream: TcpStream,
}

/// A route with time for heads that arrive slowly.
fn routes() -> [Value; 1] {
    let mut route = operator::single("/once/", "s", "unsafe");
    route["timeoutMs"] = json!(10_000);
    [route]
}

fn request(id: &str) -> Vec<u8> {
    request_with_filler(id, "")
}

fn request_of_size(id: &str, head_bytes: usize) -> Vec<u8> {
    let filler = "x".repeat(head_bytes - request(id).len());
    request_with_filler(id, &filler)
}

/// A request whose caller waits for as long as its route allows.
fn request_with_filler(id: &str, filler: &str) -> Vec<u8> {
    let request = route::request_with("GET", "/once/", id, &[("x-filler", filler)], "");
    let request = String::from_utf8(request).expect("the request is text");
    request.replace(": 2000\r\n", ": 9999\r\n").into_bytes()
}

impl OpenConnection {
    async fn start(limits: &LimitValues) -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let target = RouteTarget::start("t-1", "s").await?;
        operator::configure_limits(&store, FIRST_VERSION, &routes(), &["s"], limits);
        operator::register(&store, "t-1", &target, "east");
        let host = RouteHost::start("h-1", "east", store.address(), &[])?;
        host.wait_until_ready().await?;
        let stream = TcpStream::connect(host.caller()).await?;
        let mut open = Self { store, target, host, stream };
        assert_eq!(open.exchange(&request("first")).await?, 200);
        Ok(open)
    }

    /// Puts a version with other limits into force.
    async fn change_limits(&self, limits: &LimitValues) -> TestResult {
        let version = FIRST_VERSION + 1;
        operator::configure_limits(&self.store, version, &routes(), &["s"], limits);
        let line = format!("routes-in-force: version={version}");
        route::wait_for(&line, async || self.host.logged(&line) > 0).await
    }

    /// Sends a request on the open connection; returns the status of its answer.
    async fn exchange(&mut self, request: &[u8]) -> TestResult<u16> {
        self.stream.write_all(request).await?;
        self.read_status().await
    }

    async fn read_status(&mut self) -> TestResult<u16> {
        Ok(timeout(route::WAIT_TIMEOUT, route::read_answer(&mut self.stream)).await??.status)
    }
}

/// Guards against 431 for a head that the version in force allows, and against a head that it no
/// longer allows, on a connection opened under another version.
#[tokio::test(flavor = "multi_thread")]
async fn the_size_of_heads_follows_the_version_in_force() -> TestResult {
    struct Case {
        name: &'static str,
        before: usize,
        after: usize,
        head_bytes: usize,
        status: u16,
    }
    let cases = [
        Case { name: "raised", before: 16_384, after: 32_768, head_bytes: 24_576, status: 200 },
        Case {
            name: "at a raised limit",
            before: 16_384,
            after: 32_768,
            head_bytes: 32_768,
            status: 200,
        },
        Case {
            name: "over a raised limit",
            before: 16_384,
            after: 20_480,
            head_bytes: 24_576,
            status: 431,
        },
        Case { name: "lowered", before: 32_768, after: 16_384, head_bytes: 24_576, status: 431 },
        Case {
            name: "lowered to less than a packet",
            before: 16_384,
            after: 1024,
            head_bytes: 1200,
            status: 431,
        },
        Case {
            name: "at a lowered limit",
            before: 16_384,
            after: 1024,
            head_bytes: 1024,
            status: 200,
        },
    ];
    let limit = |head_bytes| LimitValues { head_bytes, ..LimitValues::default() };
    for case in cases {
        let mut open = OpenConnection::start(&limit(case.before)).await?;
        open.change_limits(&limit(case.after)).await?;
        let status = open.exchange(&request_of_size("id-1", case.head_bytes)).await?;
        assert_eq!(status, case.status, "{}", case.name);
        assert_eq!(open.target.runs("id-1") == 1, case.status == 200, "{}", case.name);
        if case.status == 431 {
            let line = "request=id-1 outcome=head-too-large status=431";
            route::wait_for(line, async || open.host.logged(line) == 1).await?;
        }
    }
    Ok(())
}

/// Guards against 431 on a connection that was opened with less memory for a head than the version
/// in force allows: it closes, and a new one has the memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_without_room_for_the_raised_limit_closes() -> TestResult {
    let mut open = OpenConnection::start(&LimitValues::default()).await?;
    let raised = LimitValues { head_bytes: LARGE_LIMIT, ..LimitValues::default() };
    open.change_limits(&raised).await?;
    let read = timeout(route::WAIT_TIMEOUT, open.stream.read(&mut [0; 1])).await??;
    assert_eq!(read, 0, "the connection sent bytes without a request");
    open.stream = TcpStream::connect(open.host.caller()).await?;
    assert_eq!(open.exchange(&request_of_size("id-1", LARGE_LIMIT - 1)).await?, 200);
    assert_eq!(open.exchange(&request("id-2")).await?, 200);
    Ok(())
}

/// Guards against the loss of a request at a planned close: the limit is raised while its target
/// works on it, or while its head arrives.
#[tokio::test(flavor = "multi_thread")]
async fn a_close_for_the_raised_limit_cuts_off_no_request() -> TestResult {
    struct Case {
        name: &'static str,
        /// Number of bytes sent before the limit is raised.
        sent_before: usize,
    }
    let whole = request("id-1");
    let cases = [
        Case { name: "its target works on it", sent_before: whole.len() },
        Case { name: "its head arrives", sent_before: whole.len() / 2 },
    ];
    for case in cases {
        let mut open = OpenConnection::start(&LimitValues::default()).await?;
        open.target.fail_always(Some(TargetFault::Slow(Duration::from_millis(1000))));
        let (before, after) = whole.split_at(case.sent_before);
        open.stream.write_all(before).await?;
        let raised = LimitValues { head_bytes: LARGE_LIMIT, ..LimitValues::default() };
        open.change_limits(&raised).await?;
        sleep(Duration::from_millis(100)).await;
        open.stream.write_all(after).await?;
        let answer = timeout(route::WAIT_TIMEOUT, route::read_answer(&mut open.stream)).await??;
        assert_eq!(answer.status, 200, "{}", case.name);
        assert_eq!(
            answer.headers.get("connection").map(String::as_str),
            Some("close"),
            "{}",
            case.name
        );
        let read = timeout(route::WAIT_TIMEOUT, open.stream.read(&mut [0; 1])).await??;
        assert_eq!(read, 0, "{}", case.name);
    }
    Ok(())
}

/// Guards against the close of an idle connection that its caller may still use: the limit was
/// raised while it was idle.
#[tokio::test(flavor = "multi_thread")]
async fn a_raised_idle_time_applies_to_an_idle_connection() -> TestResult {
    let idle = |idle_ms| LimitValues { idle_ms, ..LimitValues::default() };
    let mut open = OpenConnection::start(&idle(3000)).await?;
    open.change_limits(&idle(10_000)).await?;
    for id in ["id-1", "id-2"] {
        sleep(Duration::from_millis(4000)).await;
        assert_eq!(open.exchange(&request(id)).await?, 200, "{id}");
    }
    Ok(())
}

/// Guards against connections that stay open for the idle time of an earlier version.
#[tokio::test(flavor = "multi_thread")]
async fn a_lowered_idle_time_applies_to_an_idle_connection() -> TestResult {
    let idle = |idle_ms| LimitValues { idle_ms, ..LimitValues::default() };
    let mut open = OpenConnection::start(&idle(60_000)).await?;
    open.change_limits(&idle(500)).await?;
    let read = timeout(Duration::from_secs(3), open.stream.read(&mut [0; 1])).await??;
    assert_eq!(read, 0, "the connection sent bytes without a request");
    Ok(())
}

/// Guards against 408 for a head that arrives within the time that the version in force allows, and
/// against slow heads that it no longer allows; the limit changes before the head, or during it.
#[tokio::test(flavor = "multi_thread")]
async fn the_time_of_heads_follows_the_version_in_force() -> TestResult {
    struct Case {
        name: &'static str,
        before_ms: u64,
        after_ms: u64,
        /// Whether the first part of the head is sent before the limit changes.
        started: bool,
        status: u16,
    }
    let cases = [
        Case { name: "raised", before_ms: 2000, after_ms: 8000, started: false, status: 200 },
        Case { name: "raised during", before_ms: 2000, after_ms: 8000, started: true, status: 200 },
        Case { name: "lowered", before_ms: 60_000, after_ms: 500, started: false, status: 408 },
        Case {
            name: "lowered during",
            before_ms: 60_000,
            after_ms: 500,
            started: true,
            status: 408,
        },
    ];
    let limit = |head_ms| LimitValues { head_ms, ..LimitValues::default() };
    for case in cases {
        let mut open = OpenConnection::start(&limit(case.before_ms)).await?;
        let whole = request("id-1");
        let (first, second) = whole.split_at(whole.len() / 2);
        if case.started {
            open.stream.write_all(first).await?;
        }
        open.change_limits(&limit(case.after_ms)).await?;
        if !case.started {
            open.stream.write_all(first).await?;
        }
        sleep(Duration::from_millis(2500)).await;
        // The host may have closed the connection.
        let _sent = open.stream.write_all(second).await;
        assert_eq!(open.read_status().await?, case.status, "{}", case.name);
    }
    Ok(())
}
