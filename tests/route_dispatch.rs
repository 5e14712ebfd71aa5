//! Requests that wait for capacity at real `route` processes.

mod support;

use std::time::Duration;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::TargetFault;
use rustix::process::Signal;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Orders requests although there are no customers, and never hedges.
const POLICY: &str =
    "[policy.dispatch]\non = true\nwaiting_limit = 8\n[policy.second_attempts]\non = false\n";

/// A host and a target with two slots, each request of which takes `service_time`.
async fn start(
    service_time: Duration,
    policy: &str,
) -> TestResult<(RouteStore, RouteTarget, RouteHost)> {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    target.fail_always(Some(TargetFault::Slow(service_time)));
    operator::register(&store, "t-1", &target, "east");
    let mut urgent = operator::single("/urgent/", "s", "safe");
    urgent["priority"] = 0.into();
    let mut routes = [urgent, operator::single("/patient/", "s", "safe")];
    for route in &mut routes {
        route["targetLatencyMs"] = 3_000.into();
        route["timeoutMs"] = 6_000.into();
    }
    let all = operator::scatter_gather("/all/", &["s"], 1.0);
    let [urgent, patient] = routes;
    operator::configure(&store, 3, &[urgent, patient, all], &["s"]);
    let host = RouteHost::start_with_policy("h-1", "east", store.address(), &[], policy)?;
    host.wait_until_ready().await?;
    Ok((store, target, host))
}

/// The number of `event` in the dispatcher's counter.
async fn dispatch_count(host: &RouteHost, event: &str) -> TestResult<u64> {
    let label = format!("event=\"{event}\"");
    let text = host.metrics().await?;
    let line = text
        .lines()
        .find(|line| line.starts_with("hawthorn_route_dispatch") && line.contains(&label));
    Ok(line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0))
}

/// Guards against less urgent requests that are served before urgent ones which arrived later, and
/// against refusals that lack the time to retry or ran at a target.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_requests_overtake_and_late_ones_are_refused() -> TestResult {
    let (_store, _target, host) = start(Duration::from_millis(400), POLICY).await?;
    let send = async |path: &str, number: usize| {
        let id = format!("id-{}-{number}", path.trim_matches('/'));
        host.send("GET", &format!("{path}{number}"), &id, "").await
    };
    // Less urgent requests leave slots to urgent ones for a second after one.
    assert_eq!(send("/urgent/", 1).await?.status, 200);
    let patient =
        async { futures::future::join_all((0..6).map(|number| send("/patient/", number))).await };
    let urgent = async {
        sleep(Duration::from_millis(100)).await;
        let started = tokio::time::Instant::now();
        let answer = send("/urgent/", 0).await;
        (answer, started.elapsed())
    };
    let (patient, (urgent, elapsed)) = futures::join!(patient, urgent);
    assert_eq!(urgent?.status, 200);
    assert!(elapsed < Duration::from_millis(1_200), "{elapsed:?}");
    for answer in patient {
        assert_eq!(answer?.status, 200);
    }
    // Far more than the queue holds: the rest is refused at once.
    assert_eq!(send("/urgent/", 2).await?.status, 200);
    let flood = (10..40).map(|number| send("/patient/", number));
    let mut refused = 0;
    for answer in futures::future::join_all(flood).await {
        let answer = answer?;
        if answer.status == 503 {
            assert_eq!(answer.body, b"overloaded");
            assert!(answer.headers.contains_key("retry-after"), "{:?}", answer.headers);
            refused += 1;
        } else {
            assert_eq!(answer.status, 200);
        }
    }
    assert!(refused >= 15, "{refused}");
    let logged = async || host.logged("dispatch-queue") > 0;
    route::wait_for("the queue to be logged", logged).await?;
    let rejected = async || dispatch_count(&host, "rejected").await.is_ok_and(|count| count >= 15);
    route::wait_for("the rejections to be counted", rejected).await?;
    let metrics = host.metrics().await?;
    assert!(metrics.contains("of=\"dispatch-waiting\""));
    assert!(metrics.contains("of=\"dispatch-oldest-ms\""));
    Ok(())
}

/// Guards against waiting requests that run although their callers left, and against ones that a
/// resumed host sends after they expired.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_caller_left_or_that_expired_do_not_run() -> TestResult {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    target.fail_always(Some(TargetFault::Slow(Duration::from_millis(600))));
    operator::register(&store, "t-1", &target, "east");
    let mut patient = operator::single("/patient/", "s", "safe");
    patient["targetLatencyMs"] = 2_000.into();
    patient["timeoutMs"] = 2_500.into();
    let mut urgent = operator::single("/urgent/", "s", "safe");
    urgent["priority"] = 0.into();
    operator::configure(&store, 3, &[patient, urgent], &["s"]);
    let host = RouteHost::start_with_policy("h-1", "east", store.address(), &[], POLICY)?;
    host.wait_until_ready().await?;
    let open = async |id: &str| -> TestResult<TcpStream> {
        let mut stream = TcpStream::connect(host.caller()).await?;
        let path = format!("/patient/{id}");
        stream.write_all(&route::request("GET", &path, id, "")).await?;
        Ok(stream)
    };
    let _primed = host.send("GET", "/urgent/1", "prime-1", "").await?;
    let _running = [open("run-1").await?, open("run-2").await?];
    sleep(Duration::from_millis(100)).await;
    let left = open("left").await?;
    sleep(Duration::from_millis(100)).await;
    drop(left);
    sleep(Duration::from_millis(1_000)).await;
    assert_eq!(target.runs("run-1") + target.runs("run-2"), 2);
    assert_eq!(target.runs("left"), 0);
    let _primed = host.send("GET", "/urgent/2", "prime-2", "").await?;
    let _running = [open("run-3").await?, open("run-4").await?];
    sleep(Duration::from_millis(100)).await;
    let _expired = open("expired").await?;
    sleep(Duration::from_millis(100)).await;
    host.signal(Signal::STOP)?;
    sleep(Duration::from_secs(3)).await;
    host.signal(Signal::CONT)?;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(target.runs("run-3") + target.runs("run-4"), 2);
    assert_eq!(target.runs("expired"), 0);
    let answer = host.send("GET", "/patient/after", "after", "").await?;
    assert_eq!(answer.status, 200);
    Ok(())
}

/// Guards against a changed path of requests where the dispatcher is off: without policy and
/// customers nothing waits here, and nothing is refused or counted.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_waits_without_policy_and_customers() -> TestResult {
    let (_store, _target, host) = start(Duration::from_millis(100), "").await?;
    let sends = (0..12).map(|number| {
        let host = &host;
        async move {
            let id = format!("id-{number}");
            host.send("GET", &format!("/patient/{number}"), &id, "").await
        }
    });
    for answer in futures::future::join_all(sends).await {
        assert_ne!(answer?.body, b"overloaded");
    }
    sleep(Duration::from_millis(600)).await;
    assert_eq!(dispatch_count(&host, "requested").await?, 0);
    assert_eq!(host.logged("dispatch-queue"), 0);
    Ok(())
}

/// Guards against queries that a gatherer or its own host rejects or delays while targets are free.
#[tokio::test(flavor = "multi_thread")]
async fn queries_pass_while_targets_are_free() -> TestResult {
    let (_store, _target, host) = start(Duration::from_millis(5), POLICY).await?;
    for number in 0..20 {
        let answer = host.send("GET", "/all/x", &format!("id-{number}"), "").await?;
        assert_eq!(answer.status, 200);
    }
    sleep(Duration::from_millis(600)).await;
    assert_eq!(dispatch_count(&host, "requested").await?, 20);
    assert_eq!(dispatch_count(&host, "queued").await?, 0);
    Ok(())
}
