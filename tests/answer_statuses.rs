//! Answers of targets with a status that cannot be that of a final answer, on routes of each kind.

mod support;

use hawthorn_standin::route::RouteStore;
use hawthorn_standin::route::RouteTarget;
use hawthorn_standin::route::headers;
use hawthorn_standin::route::operator;
use hawthorn_standin::route::target::TargetFault;
use hawthorn_standin::route::target::records;
use support::TestResult;
use support::route;
use support::route::RouteAnswer;
use support::route::RouteHost;

const STATUSES: [u16; 11] = [0, 1, 99, 100, 101, 102, 103, 199, 600, 700, 999];

struct StatusFleet {
    _store: RouteStore,
    target: RouteTarget,
    _good: RouteTarget,
    host: RouteHost,
}

impl StatusFleet {
    async fn start() -> TestResult<Self> {
        let store = RouteStore::start().await?;
        let target = RouteTarget::start("t-1", "s").await?;
        let good = RouteTarget::start("t-good", "good").await?;
        let routes = [
            operator::single("/once/", "s", "unsafe"),
            operator::single("/again/", "s", "safe"),
            operator::scatter_gather("/all/", &["s", "good"], 0.5),
        ];
        operator::configure(&store, 3, &routes, &["s", "good"]);
        operator::register(&store, "t-1", &target, "east");
        operator::register(&store, "t-good", &good, "east");
        let host = RouteHost::start("h-1", "east", store.address(), &[])?;
        host.wait_until_ready().await?;
        Ok(Self { _store: store, target, _good: good, host })
    }
}

/// What is wrong with an answer to a request of which no target gave a final answer.
fn single_fault(answer: &RouteAnswer) -> Option<&'static str> {
    match answer {
        answer if answer.headers.contains_key(headers::RECEIPT) => Some("a target's receipt"),
        answer if answer.body.starts_with(&records("s")) => Some("a target's body"),
        RouteAnswer { status: 502 | 504, .. } => None,
        _ => Some("not an unknown outcome"),
    }
}

fn gathered_fault(answer: &RouteAnswer) -> Option<&'static str> {
    let receipts = answer.headers.get(headers::PART_RECEIPTS).map_or("", String::as_str);
    match answer.status {
        200 if receipts.starts_with("t-good.") && !receipts.contains("t-1.") => None,
        200 => Some("another part"),
        _ => Some("the other shard is lost, too"),
    }
}

/// Guards against a status that cannot be final and reaches a caller, and against bytes behind it
/// that reach anyone.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_cannot_be_final_reaches_no_caller() -> TestResult {
    struct Case {
        method: &'static str,
        path: &'static str,
        fault: fn(&RouteAnswer) -> Option<&'static str>,
    }
    let cases = [
        Case { method: "POST", path: "/once/", fault: single_fault },
        Case { method: "GET", path: "/again/", fault: single_fault },
        Case { method: "GET", path: "/all/", fault: gathered_fault },
    ];
    let mut faults = Vec::new();
    for status in STATUSES {
        for Case { method, path, fault } in &cases {
            let fleet = StatusFleet::start().await?;
            fleet.target.fail_always(Some(TargetFault::StatusThenAnswer(status)));
            let answer = fleet.host.send(method, path, "id-1", "").await;
            let found = answer.as_ref().map_or(Some("no answer"), fault);
            faults.extend(found.map(|found| format!("{path} {status:03}: {found}: {answer:?}")));
            fleet.target.fail_always(None);
            // A target whose answers break is avoided for a moment.
            let id = "id-2";
            let next = async || {
                let answer = fleet.host.send(method, "/again/", id, "").await;
                answer.is_ok_and(|answer| {
                    answer.status == 200 && answer.headers[headers::RECEIPT].ends_with(id)
                })
            };
            route::wait_for("the answer to the next request", next).await?;
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
    Ok(())
}
