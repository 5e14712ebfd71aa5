//! Real `route` processes: what callers send slowly and get in great lengths.

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

/// Longer than anything that a host holds of an answer.
const LONG: usize = 24 << 20;
/// The longest time of a request's head, in milliseconds.
const HEAD_MS: u64 = 400;

/// A host with one target.
struct Single {
    store: RouteStore,
    target: RouteTarget,
    host: RouteHost,
}

async fn single() -> TestResult<Single> {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    let routes =
        [operator::single("/safe/", "s", "safe"), operator::single("/once/", "s", "unsafe")];
    operator::configure_heads(&store, 3, &routes, &["s"], HEAD_MS);
    operator::register(&store, "t-1", &target, "east");
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    Ok(Single { store, target, host })
}

/// A target answers with more than a host could hold for all its callers, and
/// takes its time over the second half. The first half is with the caller
/// before the second has come, and the whole is unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_is_passed_on_as_it_comes() -> TestResult {
    let single = single().await?;
    let pause = Duration::from_millis(600);
    single.target.fail_always(Some(TargetFault::Long(LONG, pause)));
    let mut stream = TcpStream::connect(single.host.caller()).await?;
    stream.write_all(&route::request("POST", "/once/", "id-1", "x")).await?;
    let started = Instant::now();
    let mut half = vec![0; LONG / 4];
    timeout(route::WAIT_TIMEOUT, stream.read_exact(&mut half)).await??;
    let head = String::from_utf8_lossy(&half[..300]).to_ascii_lowercase();
    assert!(head.starts_with("http/1.1 200"), "{head}");
    assert!(head.contains(&format!("content-length: {LONG}")), "{head}");
    assert!(started.elapsed() < pause, "{:?}", started.elapsed());
    let begin = half.windows(4).position(|part| part == b"\r\n\r\n").ok_or("no head")? + 4;
    let mut rest = vec![0; LONG - (half.len() - begin)];
    timeout(route::WAIT_TIMEOUT, stream.read_exact(&mut rest)).await??;
    assert!(half[begin..].iter().chain(&rest).all(|byte| *byte == b'x'));
    // The connection is good for another request.
    single.target.fail_always(None);
    stream.write_all(&route::request("GET", "/safe/", "id-2", "")).await?;
    assert_eq!(route::read_answer(&mut stream).await?.status, 200);
    assert_eq!(single.target.runs("id-1"), 1);
    Ok(())
}

/// A target breaks off in the midst of a long answer. What came has been passed
/// on already: the caller's connection ends before the answer does, and nothing
/// makes it look whole. The request is not sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_that_breaks_off_does_not_look_whole() -> TestResult {
    let single = single().await?;
    single.target.fail_always(Some(TargetFault::LongHalf(LONG)));
    let error = single.host.send("GET", "/safe/", "id-1", "").await.expect_err("it breaks off");
    assert_eq!(error.to_string(), "the connection ended within an answer");
    assert_eq!(single.target.runs("id-1"), 1);
    let logged = async || single.host.logged("E634 answer-cut: request=id-1") == 1;
    route::wait_for("the line of the answer", logged).await
}

/// A target falls silent in the midst of a long answer. The caller's connection
/// ends when the route's time is over, not when the target comes round.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_ends_with_its_time() -> TestResult {
    let single = single().await?;
    let silence = Duration::from_secs(20);
    single.target.fail_always(Some(TargetFault::Long(LONG, silence)));
    let started = Instant::now();
    let error = single.host.send("GET", "/safe/", "id-1", "").await.expect_err("it breaks off");
    assert_eq!(error.to_string(), "the connection ended within an answer");
    // The route allows 1.5 s.
    assert!(started.elapsed() < Duration::from_millis(2200), "{:?}", started.elapsed());
    Ok(())
}

/// A caller sends a byte of its request's head now and then, to hold the
/// connection. It is told so within the operators' limit, nothing runs, and
/// callers who take their time within the limit are served.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_takes_too_long_is_refused() -> TestResult {
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
    let single = single().await?;
    single.target.fail_always(Some(TargetFault::Slow(Duration::from_millis(50))));
    for case in &cases {
        let mut stream = TcpStream::connect(single.host.caller()).await?;
        // One that is whole, and one in pieces on the same connection, after a rest.
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
            // Ending the sending side tells the host that its caller left.
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

/// Guards against a refusal that is lost because the connection is reset under it: a caller
/// that goes on sending reads only when its write fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_on_sending_reads_why_its_head_was_refused() -> TestResult {
    let single = single().await?;
    for _ in 0..5 {
        let mut stream = TcpStream::connect(single.host.caller()).await?;
        let request = route::request("GET", "/safe/", "id-1", "");
        let begun = Instant::now();
        for piece in request.chunks(2).cycle() {
            if begun.elapsed() > Duration::from_millis(HEAD_MS * 2)
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

/// A target is slow, and requests wait at the host for one of the few connections
/// that it accepts from it. One that gets its turn 600 ms later is handed the time
/// that its caller has then, and not what there was when it began to wait: a
/// target would work on for a caller that has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waited_for_a_connection_is_handed_what_is_left() -> TestResult {
    /// Connections that one of eight hosts may hold to a target of 26.
    const CONNECTIONS: usize = 3;
    let single = single().await?;
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
    // The route allows 1.5 s, of which it waited about 550 ms.
    let left = single.target.time_left("later").ok_or("it was handed a time")?;
    assert!((500..1100).contains(&left), "{left} ms");
    Ok(())
}

/// Operators pay for each call to the store, and see them at the metrics' address.
#[tokio::test(flavor = "multi_thread")]
async fn calls_to_the_store_are_counted() -> TestResult {
    let single = single().await?;
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
