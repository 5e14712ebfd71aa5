//! End-to-end requests through real processes: queries, non-idempotent requests, and every kind of
//! invalid input.

mod support;

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthorn_types::CallerOutcome;
use hawthorn_types::KEY_SPACE;
use hawthorn_types::RefusalReason;
use hawthorn_types::UnknownReason;
use hyper::Method;
use hyper::StatusCode;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::WAIT_TIMEOUT;
use support::fleet::is_complete;
use support::wire;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

#[tokio::test]
async fn a_query_from_any_host_covers_all_shards() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::dar_port()).await?;
    for index in 0..fleet.daemons.len() {
        for service in ["agent-desk", "port-feed"] {
            let answer = fleet.send(index, fleet.query(service)).await?;
            assert_eq!(answer.outcome, CallerOutcome::Answer);
            assert!(is_complete(&answer), "{answer:?}");
            assert!(answer.total > 0);
        }
    }
    fleet.check()
}

/// A caller sends the same non-idempotent request to several hosts. The first send runs it; the
/// others must neither run it again nor report that it was not run.
#[tokio::test]
async fn a_request_retried_at_other_hosts_does_not_run_again() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    let request = fleet.once("agent-desk", KEY_SPACE / 3);
    let first = fleet.send_once(0, request.clone()).await?;
    assert_eq!(first.outcome, CallerOutcome::Answer, "{first:?}");
    for index in 0..fleet.daemons.len() {
        let retry = fleet.send_once(index, request.clone()).await?;
        let claimed = CallerOutcome::Unknown(UnknownReason::ClaimedEarlier);
        assert_eq!(retry.outcome, claimed, "{retry:?}");
    }
    fleet.check()
}

struct BadInputCase {
    name: &'static str,
    path: &'static str,
    body: String,
    status: StatusCode,
    reason: RefusalReason,
}

fn query_with(change: &str) -> String {
    let fields = [
        ("caller", "\"bunker-desk\""),
        ("service", "\"agent-desk\""),
        ("deadline_ms", "500"),
        ("limit", "5"),
    ];
    let (key, value) = change.split_once('=').unwrap_or((change, "null"));
    let kept = fields.iter().filter(|(name, _)| *name != key);
    let mut lines: Vec<String> = kept.map(|(name, value)| format!("\"{name}\":{value}")).collect();
    lines.push(format!("\"{key}\":{value}"));
    format!("{{{}}}", lines.join(","))
}

#[tokio::test]
async fn invalid_input_is_rejected_with_a_counted_reason() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    let once = |id: &str| {
        format!(
            r#"{{"caller":"bunker-desk","service":"agent-desk","key":7,"body":"x","deadline_ms":500,"request_id":"{id}"}}"#
        )
    };
    let long = "9".repeat(4_000);
    let case = |name, path, body, status, reason| BadInputCase { name, path, body, status, reason };
    let bad = StatusCode::BAD_REQUEST;
    let cases = [
        case("not JSON", "/v1/query", "{".into(), bad, RefusalReason::BadRequest),
        case("unknown key", "/v1/query", query_with("colour=1"), bad, RefusalReason::BadRequest),
        case(
            "oversized",
            "/v1/query",
            query_with(&format!("text=\"{}\"", "x".repeat(100_000))),
            StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::BodyTooLarge,
        ),
        case(
            "unknown caller",
            "/v1/query",
            query_with("caller=\"nobody\""),
            StatusCode::FORBIDDEN,
            RefusalReason::UnknownCaller,
        ),
        case(
            "unknown service",
            "/v1/query",
            query_with("service=\"nothing\""),
            StatusCode::NOT_FOUND,
            RefusalReason::UnknownService,
        ),
        case("no time", "/v1/query", query_with("deadline_ms=0"), bad, RefusalReason::DeadlinePast),
        case("limit", "/v1/query", query_with("limit=4000000"), bad, RefusalReason::BadRequest),
        case(
            "long id",
            "/v1/query",
            query_with(&format!("request_id=\"{long}\"")),
            bad,
            RefusalReason::BadRequestId,
        ),
        case("id without a time", "/v1/request", once("abc"), bad, RefusalReason::BadRequestId),
        case("old id", "/v1/request", once("1000-a"), bad, RefusalReason::RequestIdTooOld),
        case(
            "id from the future",
            "/v1/request",
            once("99999999999-a"),
            bad,
            RefusalReason::RequestIdInFuture,
        ),
    ];
    for case in cases {
        let label = format!("reason=\"{}\"", case.reason);
        let before = fleet.metric(0, "hawthorn_refusals", &label).await?;
        let at = fleet.daemons[0].caller;
        let (status, body) = wire::call(at, Method::POST, case.path, case.body.into()).await?;
        let answer: hawthorn_types::CallerAnswer = serde_json::from_slice(&body)?;
        assert_eq!(answer.outcome, CallerOutcome::NotRun(case.reason), "{}", case.name);
        assert_eq!(status, case.status, "{}", case.name);
        let after = fleet.metric(0, "hawthorn_refusals", &label).await?;
        assert_eq!(after - before, 1.0, "{} is counted", case.name);
    }
    fleet.check()
}

/// Guards against a refusal without a time to retry by a host that has no configuration yet.
#[tokio::test]
async fn a_host_without_configuration_states_when_to_retry() -> TestResult {
    let unused = std::net::TcpListener::bind(("127.0.0.1", 0))?;
    let options = FleetOptions {
        hosts: vec![1, 0, 0],
        platform: Some(unused.local_addr()?),
        ..FleetOptions::small()
    };
    let fleet = TestFleet::start_unready(options).await?;
    let query = fleet.send(0, fleet.query("agent-desk")).await?;
    let request = fleet.send_once(0, fleet.once("agent-desk", KEY_SPACE / 3)).await?;
    for answer in [query, request] {
        let expected = CallerOutcome::NotRun(RefusalReason::NoConfiguration);
        assert_eq!(answer.outcome, expected, "{answer:?}");
        assert!(answer.retry_after_ms.is_some(), "{answer:?}");
    }
    Ok(())
}

/// Guards against a proper request that is rejected for good because the host's clock is behind.
#[tokio::test]
async fn an_id_slightly_ahead_is_retried() -> TestResult {
    const AHEAD: Duration = Duration::from_secs(60);
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    let mut request = fleet.once("agent-desk", KEY_SPACE / 3);
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
    request.request_id = format!("{}-ahead", (now + AHEAD).as_secs());
    let at = fleet.daemons[0].caller;
    let body = serde_json::to_vec(&request)?;
    let (status, body) = wire::call(at, Method::POST, "/v1/request", body).await?;
    let answer: hawthorn_types::CallerAnswer = serde_json::from_slice(&body)?;
    assert_eq!(answer.outcome, CallerOutcome::NotRun(RefusalReason::ClockUncertain));
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert!(answer.retry_after_ms.is_some(), "{answer:?}");
    fleet.check()
}

/// Guards against a proper request that is rejected as wrong because its deadline passed here.
#[tokio::test]
async fn a_short_deadline_is_no_fault_of_the_request() -> TestResult {
    let fleet = TestFleet::start(FleetOptions::small()).await?;
    for deadline_ms in (1..=60).cycle().take(240) {
        let mut request = fleet.once("agent-desk", KEY_SPACE / 3);
        request.deadline_ms = deadline_ms;
        let body = serde_json::to_vec(&request)?;
        let at = fleet.daemons[0].caller;
        let (status, body) = wire::call(at, Method::POST, "/v1/request", body).await?;
        let answer: hawthorn_types::CallerAnswer = serde_json::from_slice(&body)?;
        assert_ne!(status, StatusCode::BAD_REQUEST, "{deadline_ms} ms: {answer:?}");
        let is_refused = matches!(answer.outcome, CallerOutcome::NotRun(_));
        assert_eq!(is_refused, answer.retry_after_ms.is_some(), "{deadline_ms} ms: {answer:?}");
    }
    fleet.check()
}

/// A client that sends the head of a request and then stalls within the body must not hold its
/// connection forever, and must receive the reason for the rejection.
#[tokio::test]
async fn a_slow_client_is_rejected() -> TestResult {
    let options = FleetOptions {
        hosts: vec![1, 0, 0],
        extra_settings: "[limits]\nslow_client = \"200ms\"\n".into(),
        ..FleetOptions::small()
    };
    let fleet = TestFleet::start_unready(options).await?;
    let mut stream = tokio::net::TcpStream::connect(fleet.daemons[0].caller).await?;
    let head = "POST /v1/query HTTP/1.1\r\nhost: tier\r\ncontent-length: 500\r\n\r\n{";
    stream.write_all(head.as_bytes()).await?;
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while !String::from_utf8_lossy(&received).contains("slow-client") {
        let count = tokio::time::timeout(WAIT_TIMEOUT, stream.read(&mut buffer)).await??;
        assert!(count > 0, "closed without a reason: {}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&buffer[..count]);
    }
    assert!(String::from_utf8_lossy(&received).starts_with("HTTP/1.1 408"));
    Ok(())
}
