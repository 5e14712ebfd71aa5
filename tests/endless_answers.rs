//! Targets that send bytes which are no answer, without end, until their caller closes.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::EndlessBytes;
use hawthorn_standin::route::target::TargetFault;
use support::TestResult;
use support::route;
use support::route::RouteHost;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The caller's deadline is later than the timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after the timeout until a request has ended at its caller and at its target.
const END_MARGIN: Duration = Duration::from_millis(500);
/// Time between two checks of idle connections, and some more.
const IDLE_CHECK: Duration = Duration::from_millis(6000);
/// Memory that a host may use for one target that floods it, beyond what it had.
const MAX_GROWTH_KB: u64 = 4096;

const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// What the caller sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Status(u16),
    /// The answer begins and is cut, so that it cannot be taken for a complete one.
    Cut,
}

struct EndlessCase {
    bytes: EndlessBytes,
    /// For a request that may run once, at the only target.
    once: Outcome,
    /// Time after which the target sees its connection closed.
    closed_after: Duration,
}

struct FloodedHost {
    _store: RouteStore,
    flooding: RouteTarget,
    other: RouteTarget,
    _parts: Vec<RouteTarget>,
    host: RouteHost,
}

impl FloodedHost {
    /// A host with routes `/once/` and `/again/` to the flooding target, `/other/` to another one, and
    /// `/all/` over three shards, one of which only the flooding target holds.
    async fn start() -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let flooding = RouteTarget::start("t-flooding", "s").await?;
        let other = RouteTarget::start("t-other", "both").await?;
        operator::register(&store, "t-flooding", &flooding, "east");
        operator::register(&store, "t-other", &other, "east");
        let mut parts = Vec::new();
        for shard in ["b", "c"] {
            let target = RouteTarget::start(&format!("t-{shard}"), shard).await?;
            operator::register(&store, &format!("t-{shard}"), &target, "east");
            parts.push(target);
        }
        let routes = [
            operator::single("/once/", "s", "unsafe"),
            operator::single("/again/", "s", "safe"),
            operator::scatter_gather("/all/", &["s", "b", "c"], 0.6),
            operator::single("/other/", "both", "safe"),
        ];
        operator::configure(&store, 3, &routes, &["s", "both", "b", "c"]);
        let host = RouteHost::start("h-1", "east", store.address(), &[])?;
        host.wait_until_ready().await?;
        Ok(Self { _store: store, flooding, other, _parts: parts, host })
    }

    /// Sends a request, and checks that it ends in time and the host's memory stays bounded.
    async fn send(&self, method: &str, path: &str, id: &str) -> TestResult<Outcome> {
        let before = self.host.resident_kb()?;
        let started = Instant::now();
        let answer = self.exchange(method, path, id).await;
        let elapsed = started.elapsed();
        let in_time = elapsed < ROUTE_TIMEOUT + END_MARGIN;
        assert!(in_time, "{id} took {elapsed:?}, then {answer:?}");
        let grown = self.host.resident_kb()?.saturating_sub(before);
        assert!(grown < MAX_GROWTH_KB, "{id}: {grown} KiB more");
        answer
    }

    /// Reads an answer to its end, or until the host closes the connection.
    async fn exchange(&self, method: &str, path: &str, id: &str) -> TestResult<Outcome> {
        let mut stream = TcpStream::connect(self.host.caller()).await?;
        stream.write_all(&route::request(method, path, id, "")).await?;
        let mut bytes = Vec::new();
        while !bytes.windows(4).any(|part| part == b"\r\n\r\n") {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(Outcome::Cut);
            }
        }
        let head = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = Outcome::Status(status.ok_or("no status")?);
        if !head.contains("transfer-encoding: chunked") {
            return Ok(status);
        }
        let mut end = Vec::new();
        loop {
            end.drain(..end.len().saturating_sub(LAST_CHUNK.len()));
            // A cut connection may also be reset.
            if !matches!(stream.read_buf(&mut end).await, Ok(1..)) {
                return Ok(if end.ends_with(LAST_CHUNK) { status } else { Outcome::Cut });
            }
        }
    }
}

/// Guards against a host that reads without end: its memory grows, its request is held, or the target
/// stays busy with what no caller gets. The outcome states what is known: such a request may have run.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_of_a_target_end_with_their_request() -> TestResult {
    let case = |bytes, once, closed_after| EndlessCase { bytes, once, closed_after };
    let broken = Outcome::Status(502);
    let (at_once, in_time) = (END_MARGIN, ROUTE_TIMEOUT + END_MARGIN);
    let cases = [
        case(EndlessBytes::Noise, broken, at_once),
        case(EndlessBytes::EmptyLines, broken, at_once),
        case(EndlessBytes::InterimHeads, broken, at_once),
        case(EndlessBytes::HeaderValue, broken, at_once),
        case(EndlessBytes::HeaderFields, broken, at_once),
        case(EndlessBytes::Chunks, Outcome::Cut, in_time),
        case(EndlessBytes::UnframedBody, Outcome::Cut, in_time),
        case(EndlessBytes::ChunkExtension, broken, at_once),
        case(EndlessBytes::AfterAnswer, Outcome::Status(200), IDLE_CHECK),
    ];
    for EndlessCase { bytes, once, closed_after } in cases {
        let fleet = FloodedHost::start().await?;
        fleet.flooding.fail_always(Some(TargetFault::Endless(bytes)));
        let outcome = fleet.send("POST", "/once/", "id-once").await?;
        assert_eq!(outcome, once, "{bytes:?}");
        assert_eq!(fleet.flooding.runs("id-once"), 1, "{bytes:?}");
        // It may run again, but at the same target.
        let again = fleet.send("GET", "/again/", "id-again").await?;
        // A connection may prove unusable only once the request is written to it.
        let may_break = bytes == EndlessBytes::AfterAnswer && again == broken;
        assert!(again == once || may_break, "{bytes:?}: {again:?}");
        // Of three shards one floods, which the answer may do without.
        let gathered = fleet.send("GET", "/all/", "id-all").await?;
        assert_eq!(gathered, Outcome::Status(200), "{bytes:?}");
        // The query may have met the end of the connection that served the request before it.
        let closed = async || fleet.flooding.floods().len() == fleet.flooding.all_runs();
        route::wait_for("the connections to be closed", closed).await?;
        for flood in fleet.flooding.floods() {
            assert!(flood.after < closed_after, "{bytes:?}: {flood:?}");
        }
        // The host serves others meanwhile and afterwards.
        let served = fleet.send("GET", "/other/", "id-other").await?;
        assert_eq!(served, Outcome::Status(200), "{bytes:?}");
        assert_eq!(fleet.other.runs("id-other"), 1, "{bytes:?}");
    }
    Ok(())
}
