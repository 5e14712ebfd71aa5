//! Targets that send the answer of another request where the answer to a request is due.

mod support;

use std::time::Duration;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::headers;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::ExtraAnswer;
use hawthorn_standin::route::target::TargetFault;
use support::TestResult;
use support::route;
use support::route::RouteHost;

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Requests per second that a cold target tolerates. A host without a slot sends none.
const COLD_RATE: f64 = 1.0;

struct ExtraCase {
    name: &'static str,
    extra: ExtraAnswer,
}

const fn rejection(status: u16, not_run: bool, has_id: bool) -> ExtraAnswer {
    ExtraAnswer { status, not_run, has_id, has_body: false }
}

const CASES: [ExtraCase; 10] = [
    ExtraCase { name: "full", extra: rejection(503, true, true) },
    ExtraCase { name: "full, without an id", extra: rejection(503, true, false) },
    ExtraCase { name: "too many requests", extra: rejection(429, true, true) },
    ExtraCase { name: "too slow", extra: rejection(408, true, true) },
    ExtraCase { name: "misdirected", extra: rejection(421, true, true) },
    ExtraCase { name: "misdirected, unmarked", extra: rejection(421, false, true) },
    ExtraCase { name: "misdirected, without an id", extra: rejection(421, true, false) },
    ExtraCase { name: "no id in the request", extra: rejection(400, true, false) },
    ExtraCase {
        name: "a request that ran",
        extra: ExtraAnswer { status: 200, not_run: false, has_id: true, has_body: true },
    },
    ExtraCase {
        name: "a request that ran, without an id",
        extra: ExtraAnswer { status: 200, not_run: false, has_id: false, has_body: true },
    },
];

/// One host and the targets of two services, one of which is gathered.
struct MismatchFleet {
    targets: Vec<RouteTarget>,
    host: RouteHost,
}

async fn start_fleet(targets: &[&str]) -> TestResult<MismatchFleet> {
    let store = RouteStore::start().await?;
    let routes = [
        operator::single("/once/", "s", "unsafe"),
        operator::single("/safe/", "s", "safe"),
        operator::scatter_gather("/all/", &["s"], 1.0),
    ];
    operator::configure_cold_rate(&store, 3, &routes, &["s"], COLD_RATE);
    let mut started = Vec::new();
    for id in targets {
        let target = RouteTarget::start(id, "s").await?;
        operator::register(&store, id, &target, "east");
        started.push(target);
    }
    let host = RouteHost::start("h-1", "east", store.address(), &[])?;
    host.wait_until_ready().await?;
    Ok(MismatchFleet { targets: started, host })
}

/// Guards against a rejection of another request that is taken for the answer: the request would
/// be refused as not run, or sent to a second target, although it runs.
#[tokio::test(flavor = "multi_thread")]
async fn an_extra_answer_promises_nothing_about_a_request() -> TestResult {
    for ExtraCase { name, extra } in CASES {
        let MismatchFleet { targets, host } = start_fleet(&["t-1", "t-2"]).await?;
        targets.iter().for_each(|target| target.fail_next(&[TargetFault::Preceded(extra)]));
        let answer = host.send("POST", "/once/", "id-1", "").await?;
        let ran = async || targets.iter().any(|target| target.runs("id-1") > 0);
        route::wait_for("the request to run", ran).await?;
        // A second attempt would have been sent by the time of the next answer.
        host.send("POST", "/once/", "id-2", "").await?;
        let runs: usize = targets.iter().map(|target| target.runs("id-1")).sum();
        assert_eq!(runs, 1, "{name}: runs");
        assert!(!PROMISES.contains(&answer.status), "{name}: answered {}", answer.status);
        assert_ne!(answer.status, 200, "{name}: the answer of another request was delivered");
    }
    Ok(())
}

/// Guards against an answer of another request that is believed: the connection would be reused,
/// and the next request on it get this one's answer, and the target count as full, cold or gone.
#[tokio::test(flavor = "multi_thread")]
async fn an_extra_answer_changes_nothing_for_the_next_request() -> TestResult {
    for ExtraCase { name, extra } in CASES {
        let MismatchFleet { targets, host } = start_fleet(&["t-1"]).await?;
        let target = &targets[0];
        target.fail_next(&[TargetFault::Preceded(extra)]);
        host.send("POST", "/once/", "id-1", "").await?;
        let answer = host.send("POST", "/once/", "id-2", "").await?;
        let reason = String::from_utf8_lossy(&answer.body);
        assert_eq!(answer.status, 200, "{name}: {reason}");
        assert!(answer.headers[headers::RECEIPT].ends_with(".id-2"), "{name}");
        // E631 states the load of the target as estimated when the attempt ended.
        let believed = format!("load={}", ExtraAnswer::RUNNING + ExtraAnswer::WAITING);
        assert_eq!(host.logged(&believed), 0, "{name}: {:?}", host.log_lines());
    }
    Ok(())
}

/// Guards against parts of other requests in the answer to a query, and against an idempotent
/// request that fails although another target can serve it, or serves it late.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_be_repeated_outlasts_an_extra_answer() -> TestResult {
    // A hedge is sent long before the slow target answers.
    let slow = TargetFault::Slow(Duration::from_millis(600));
    for ExtraCase { name, extra } in CASES {
        for (path, other, rounds) in
            [("/safe/", None, 4), ("/all/", None, 4), ("/safe/", Some(slow), 1)]
        {
            let MismatchFleet { targets, host } = start_fleet(&["t-1", "t-2"]).await?;
            targets[0].fail_always(Some(TargetFault::Preceded(extra)));
            targets[1].fail_always(other);
            for round in 0..rounds {
                let id = format!("id-{round}");
                let answer = host.send("GET", path, &id, "").await?;
                let reason = String::from_utf8_lossy(&answer.body);
                assert_eq!(answer.status, 200, "{name}: {path}: {reason}");
                let receipt = match path {
                    "/all/" => &answer.headers[headers::PART_RECEIPTS],
                    _ => &answer.headers[headers::RECEIPT],
                };
                assert!(receipt.ends_with(&format!(".{id}")), "{name}: {path}: {receipt}");
                let runs: usize = targets.iter().map(|target| target.runs(&id)).sum();
                assert!(runs <= 2, "{name}: {path}: {runs} runs");
            }
        }
    }
    Ok(())
}

/// Guards against a host that gathers for another and takes an answer of another request for a
/// part, or believes what it states: the caller's host cannot tell whose part it is.
#[tokio::test(flavor = "multi_thread")]
async fn parts_gathered_for_another_host_belong_to_the_query() -> TestResult {
    let store = RouteStore::start().await?;
    let names = ["a", "b", "c", "d"];
    operator::configure(&store, 3, &[operator::scatter_gather("/all/", &names, 0.75)], &names);
    let mut targets = Vec::new();
    for name in names {
        let target = RouteTarget::start(&format!("t-{name}"), name).await?;
        operator::register(&store, &format!("t-{name}"), &target, "west");
        targets.push(target);
    }
    let east = RouteHost::start("h-1", "east", store.address(), &[])?;
    let west = RouteHost::start("h-2", "west", store.address(), &[&east])?;
    for host in [&east, &west] {
        host.wait_until_ready().await?;
    }
    let delegated = async || {
        let answer = east.send("GET", "/all/", "id-0", "").await;
        answer.is_ok() && east.logged("zone=west shards=4 decision=delegated") > 0
    };
    route::wait_for("the peer to gather", delegated).await?;
    for (number, ExtraCase { name, extra }) in CASES.iter().enumerate() {
        let id = format!("id-{}", number + 1);
        targets[0].fail_next(&[TargetFault::Preceded(*extra)]);
        let answer = east.send("GET", "/all/", &id, "").await?;
        assert_eq!(answer.status, 200, "{name}");
        assert_eq!(answer.headers[headers::MISSING_PARTS], "1", "{name}");
        let mut receipts = answer.headers[headers::PART_RECEIPTS].split(", ");
        assert!(receipts.all(|receipt| receipt.ends_with(&format!(".{id}"))), "{name}");
        let next = east.send("GET", "/all/", &format!("next-{number}"), "").await?;
        assert_eq!(next.status, 200, "{name}: the next query");
        let parts = next.headers[headers::PART_RECEIPTS].split(", ").count();
        assert_eq!(parts, names.len(), "{name}: the next query");
    }
    Ok(())
}
