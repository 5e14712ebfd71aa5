//! Real `route` processes: slow callers, and answers too long to buffer.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::TargetFault;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Length of an answer that exceeds what a host buffers.
const LONG: usize = 24 << 20;
/// Timeout of a request's head, in milliseconds.
const HEAD_MS: u64 = 400;

/// A host with one target.
struct SingleTarget {
    store: RouteStore,
    target: RouteTarget,
    host: RouteHost,
}

async fn start_single() -> TestResult<SingleTarget> {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    let routes =
        [operator::single("/safe/", "s", "safe"), operator::single("/once/", "s", "unsafe")];
    operator::configure_header_timeout(&store, 3, &routes, &["s"], HEAD_MS);
    operator::register(&store, "t-1", &target, "east");
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    Ok(SingleTarget { store, target, host })
}

/// A host that buffered longer answers than it could hold for all its callers would exhaust its
/// memory. The caller receives the first part before the target has sent the second half, and the
/// answer is unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_is_streamed() -> TestResult {
    let single = start_single().await?;
    let pause = Duration::from_millis(600);
    single.target.fail_always(Some(TargetFault::SlowBody(LONG, pause)));
    let mut stream = TcpStream::connect(single.host.caller()).await?;
    stream.write_all(&route::request("POST", "/once/", "id-1", "x")).await?;
    let started = Instant::now();
    let mut first_part = vec![0; LONG / 4];
    timeout(route::WAIT_TIMEOUT, stream.read_exact(&mut first_part)).await??;
    let head = String::from_utf8_lossy(&first_part[..300]).to_ascii_lowercase();
    assert!(head.starts_with("http/1.1 200"), "{head}");
    assert!(head.contains(&format!("content-length: {LONG}")), "{head}");
    assert!(started.elapsed() < pause, "{:?}", started.elapsed());
    let body_start =
        first_part.windows(4).position(|part| part == b"\r\n\r\n").ok_or("no head")? + 4;
    let mut remaining = vec![0; LONG - (first_part.len() - body_start)];
    timeout(route::WAIT_TIMEOUT, stream.read_exact(&mut remaining)).await??;
    assert!(first_part[body_start..].iter().chain(&remaining).all(|byte| *byte == b'x'));
    // The connection can be reused.
    single.target.fail_always(None);
    stream.write_all(&route::request("GET", "/safe/", "id-2", "")).await?;
    assert_eq!(route::read_answer(&mut stream).await?.status, 200);
    assert_eq!(single.target.runs("id-1"), 1);
    Ok(())
}

/// A target closes its connection in the middle of a long answer, of which a part has already been
/// forwarded. The caller's connection closes before the answer's announced length, so that it
/// cannot be taken for complete. The request is not retried.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_long_answer_is_not_taken_for_complete() -> TestResult {
    let single = start_single().await?;
    single.target.fail_always(Some(TargetFault::TruncatedBody(LONG)));
    let error =
        single.host.send("GET", "/safe/", "id-1", "").await.expect_err("the answer is truncated");
    assert_eq!(error.to_string(), "the connection ended within an answer");
    assert_eq!(single.target.runs("id-1"), 1);
    let logged = async || single.host.logged("E634 answer-cut: request=id-1") == 1;
    route::wait_for("the truncated answer to be logged", logged).await
}

/// When a target stalls in the middle of a long answer, the caller's connection closes at the
/// route's timeout, not when the target resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_long_answer_ends_at_the_timeout() -> TestResult {
    let single = start_single().await?;
    let silence = Duration::from_secs(20);
    single.target.fail_always(Some(TargetFault::SlowBody(LONG, silence)));
    let started = Instant::now();
    let error =
        single.host.send("GET", "/safe/", "id-1", "").await.expect_err("the answer is truncated");
    assert_eq!(error.to_string(), "the connection ended within an answer");
    // The route allows 1.5 s.
    assert!(started.elapsed() < Duration::from_millis(2200), "{:?}", started.elapsed());
    Ok(())
}

/// A caller that occupies a connection by sending its request's head slowly is rejected with 408 at
/// the operators' timeout and nothing runs; a slow head within the timeout is served.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_request_head_is_rejected() -> TestResult {
    struct Case {
        name: &'static str,
        /// Pause between two pieces of the head.
        pause: Duration,
        status: u16,
    }
    let cases = [
        Case { name: "slow", pause: Duration::from_millis(5), status: 200 },
        Case { name: "too slow", pause: Duration::from_millis(60), status: 408 },
    ];
    let single = start_single().await?;
    single.target.fail_always(Some(TargetFault::Slow(Duration::from_millis(50))));
    for case in &cases {
        let mut stream = TcpStream::connect(single.host.caller()).await?;
        // One request at once, and after a pause one in pieces on the same connection.
        stream.write_all(&route::request("GET", "/safe/", "id-1", "")).await?;
        assert_eq!(route::read_answer(&mut stream).await?.status, 200, "{}", case.name);
        sleep(Duration::from_millis(HEAD_MS + 200)).await;
        let (mut reader, mut writer) = stream.into_split();
        let pause = case.pause;
        let sent = tokio::spawn(async move {
            for piece in route::request("GET", "/safe/", "id-2", "").chunks(4) {
                // The host may have closed the connection.
                let _written = writer.write_all(piece).await;
                sleep(pause).await;
            }
            // Closing the sending side would signal the host that its caller disconnected.
            std::future::pending::<()>().await;
        });
        let mut answer = [0; 12];
        timeout(route::WAIT_TIMEOUT, reader.read_exact(&mut answer)).await??;
        sent.abort();
        let status = String::from_utf8_lossy(&answer[9..]).parse::<u16>()?;
        assert_eq!(status, case.status, "{}", case.name);
    }
    assert_eq!(single.target.runs("id-2"), 1);
    Ok(())
}

/// Guards against the loss of a rejection: a caller that keeps sending does not read until a write
/// fails, and a connection reset would then discard it.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_keeps_sending_reads_the_rejection() -> TestResult {
    let single = start_single().await?;
    for _ in 0..5 {
        let mut stream = TcpStream::connect(single.host.caller()).await?;
        let request = route::request("GET", "/safe/", "id-1", "");
        let started = Instant::now();
        for piece in request.chunks(2).cycle() {
            if started.elapsed() > Duration::from_millis(HEAD_MS * 2)
                || stream.write_all(piece).await.is_err()
            {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        let mut answer = [0; 12];
        timeout(route::WAIT_TIMEOUT, stream.read_exact(&mut answer)).await??;
        assert_eq!(&answer[..], b"HTTP/1.1 408");
    }
    Ok(())
}

/// Requests queue at the host for one of the few connections to a slow target. If one were
/// forwarded after 600 ms with the deadline from before the wait, the target would go on working
/// for a caller that has left. It must carry the time that remains when it is sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_request_carries_its_remaining_time() -> TestResult {
    /// Connections that one of eight hosts may hold to a target that accepts 26.
    const CONNECTIONS: usize = 3;
    let single = start_single().await?;
    single.target.fail_next(&[TargetFault::Slow(Duration::from_millis(600)); CONNECTIONS]);
    let first = (0..CONNECTIONS).map(|number| {
        let id = format!("first-{number}");
        let host = &single.host;
        async move { host.send("GET", "/safe/", &id, "").await }
    });
    let later = async {
        sleep(Duration::from_millis(50)).await;
        single.host.send("GET", "/safe/", "later", "").await
    };
    let (first, later) = tokio::join!(futures::future::join_all(first), later);
    for answer in first {
        assert_eq!(answer?.status, 200);
    }
    assert_eq!(later?.status, 200);
    // The route's timeout is 1.5 s, of which the request waited about 550 ms.
    let time_left =
        single.target.time_left("later").ok_or("the request carried its remaining time")?;
    assert!((500..1100).contains(&time_left), "{time_left} ms");
    Ok(())
}

/// Operators pay for each call to the store; the metrics endpoint counts them.
#[tokio::test(flavor = "multi_thread")]
async fn calls_to_the_store_are_counted() -> TestResult {
    let single = start_single().await?;
    let shown = async || match single.host.metrics().await {
        Ok(text) => text.lines().any(|line| {
            line.starts_with("hawthorn_route_store_calls_total{") && line.contains("kind=\"list\"")
        }),
        Err(_) => false,
    };
    route::wait_for("the counter", shown).await?;
    assert!(single.store.calls() > 0);
    Ok(())
}
