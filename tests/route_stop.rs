//! Callers that keep using their connections to a host that stops.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::TargetFault;
use rustix::process::Signal;
use serde_json::json;
use support::TestResult;
use support::route;
use support::route::RouteAnswer;
use support::route::RouteHost;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Time between the stop signal and forced termination.
const GRACE: Duration = Duration::from_secs(6);
/// More than the host may open connections to its target.
const CALLERS: usize = 40;
/// Time until a refusal that is due at once.
const PROMPT: Duration = Duration::from_secs(1);

/// One host and one target, with a route whose timeout exceeds the grace period.
struct StopFleet {
    _store: RouteStore,
    target: RouteTarget,
    host: RouteHost,
}

async fn start_fleet(work: Duration) -> TestResult<StopFleet> {
    let store = RouteStore::start().await?;
    let target = RouteTarget::start("t-1", "s").await?;
    let mut route = operator::single("/once/", "s", "unsafe");
    route["timeoutMs"] = json!(10_000);
    operator::configure(&store, 3, &[route], &["s"]);
    operator::register(&store, "t-1", &target, "east");
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    target.fail_always(Some(TargetFault::Slow(work)));
    Ok(StopFleet { _store: store, target, host })
}

impl StopFleet {
    async fn connect(&self) -> TestResult<Vec<TcpStream>> {
        let mut streams = Vec::new();
        for _ in 0..CALLERS {
            streams.push(TcpStream::connect(self.host.caller()).await?);
        }
        Ok(streams)
    }

    /// Sends one request on each connection at the same moment, and waits for all answers.
    async fn send_on(
        &self,
        streams: &mut [TcpStream],
        name: &str,
    ) -> TestResult<Vec<(String, RouteAnswer)>> {
        for (number, stream) in streams.iter_mut().enumerate() {
            let id = format!("{name}-{number}");
            let request = String::from_utf8(route::request("POST", "/once/", &id, "x"))?;
            // The caller waits until after the host has exited.
            let request = request.replace(": 2000\r\n", ": 9000\r\n");
            stream.write_all(request.as_bytes()).await?;
        }
        let mut answers = Vec::new();
        for (number, stream) in streams.iter_mut().enumerate() {
            let id = format!("{name}-{number}");
            let answer = timeout(route::WAIT_TIMEOUT, route::read_answer(stream)).await?;
            let answer = answer.map_err(|error| format!("{id} has no answer: {error}"))?;
            answers.push((id, answer));
        }
        Ok(answers)
    }
}

async fn wait_until_ended(host: &mut RouteHost) -> TestResult {
    let started = Instant::now();
    while !host.has_ended() {
        if started.elapsed() > GRACE {
            return Err("the host did not exit within its grace period".into());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against requests that end with their connection when the host exits: those that wait
/// for a connection to a target never run, and their callers could repeat them elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_host_answers_every_request_that_it_has_read() -> TestResult {
    // Longer than what is left of the grace period when the requests arrive.
    let mut fleet = start_fleet(Duration::from_secs(4)).await?;
    let mut streams = fleet.connect().await?;
    fleet.host.signal(Signal::TERM)?;
    sleep(Duration::from_secs(3)).await;
    let answers = fleet.send_on(&mut streams, "late").await?;
    wait_until_ended(&mut fleet.host).await?;
    let (mut refused, mut unknown) = (0, 0);
    for (id, answer) in &answers {
        match answer.status {
            503 => {
                assert!(answer.headers.contains_key("retry-after"), "{id}");
                assert_eq!(fleet.target.runs(id), 0, "{id} was refused and ran");
                refused += 1;
            }
            502 => unknown += 1,
            status => return Err(format!("{id}: {status}").into()),
        }
    }
    assert!(refused > 0, "no request waited for a connection");
    assert!(unknown > 0, "no request was sent");
    Ok(())
}

/// Guards against requests that a stopping host accepts although their answers would arrive after
/// its exit: their callers learn it only then, and repeat them late.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_host_refuses_at_once_what_it_cannot_answer() -> TestResult {
    let fleet = start_fleet(Duration::from_millis(500)).await?;
    // The host learns how long requests take.
    let mut streams = fleet.connect().await?;
    for (id, answer) in fleet.send_on(&mut streams, "before").await? {
        assert_eq!(answer.status, 200, "{id}");
    }
    let mut streams = fleet.connect().await?;
    fleet.host.signal(Signal::TERM)?;
    sleep(Duration::from_secs(4)).await;
    let started = Instant::now();
    let answers = fleet.send_on(&mut streams, "late").await?;
    assert!(started.elapsed() < PROMPT, "refused after {:?}", started.elapsed());
    for (id, answer) in answers {
        assert_eq!(answer.status, 503, "{id}");
        assert_eq!(answer.headers["connection"], "close", "{id}");
        assert_eq!(fleet.target.runs(&id), 0, "{id}");
    }
    Ok(())
}

/// Guards against queries that lose the shards of a stopping peer: it has no callers of its own, and
/// exited before its reply.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_peer_replies_before_it_exits() -> TestResult {
    let store = RouteStore::start().await?;
    let names = ["a", "b", "c", "d"];
    let mut targets = Vec::new();
    for name in names {
        let target = RouteTarget::start(&format!("t-{name}"), name).await?;
        operator::register(&store, &format!("t-{name}"), &target, "west");
        targets.push(target);
    }
    let mut rule = operator::scatter_gather("/all/", &names, 1.0);
    rule["timeoutMs"] = json!(10_000);
    operator::configure(&store, 3, &[rule], &names);
    let east = RouteHost::start("h-1", "east", store.address(), &[])?;
    let mut west = RouteHost::start("h-2", "west", store.address(), &[&east])?;
    for host in [&east, &west] {
        host.wait_until_ready().await?;
    }
    let gathered = async || {
        let answer = east.send("GET", "/all/", "id-0", "").await;
        answer.is_ok() && east.logged("zone=west shards=4 decision=delegated") > 0
    };
    route::wait_for("the peer to gather", gathered).await?;
    let work = Duration::from_millis(3500);
    targets.iter().for_each(|target| target.fail_always(Some(TargetFault::Slow(work))));
    let mut stream = TcpStream::connect(east.caller()).await?;
    let request = String::from_utf8(route::request("GET", "/all/", "id-1", ""))?;
    stream.write_all(request.replace(": 2000\r\n", ": 9000\r\n").as_bytes()).await?;
    let runs = async || targets.iter().all(|target| target.runs("id-1") == 1);
    route::wait_for("the parts to run", runs).await?;
    west.signal(Signal::TERM)?;
    let answer = timeout(route::WAIT_TIMEOUT, route::read_answer(&mut stream)).await??;
    assert_eq!(answer.status, 200);
    wait_until_ended(&mut west).await
}
