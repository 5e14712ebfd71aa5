//! What targets record of themselves is what the checker needs.

mod support;

use std::time::Duration;

use hawthorn_standin::History;
use hawthorn_standin::TargetOptions;
use hawthorn_standin::TargetStandin;
use hawthorn_standin::check;
use hawthorn_standin::check::BrokenPromise;
use hawthorn_standin::check::BrokenSubject;
use hawthorn_types::DesiredState;
use support::Fallible;
use support::TestResult;

async fn target(name: &str, history: &History) -> Fallible<TargetStandin> {
    let options = TargetOptions {
        name: name.to_owned(),
        history: history.clone(),
        ..TargetOptions::default()
    };
    Ok(TargetStandin::start(options).await?)
}

/// Two barges sail to one vessel: an order's answer was lost at the first target
/// and the order was sent to a second one, under another request of the tier.
#[tokio::test]
async fn a_run_at_two_targets_is_found_as_doubled() -> TestResult {
    let history = History::default();
    let first = target("first", &history).await?;
    let second = target("second", &history).await?;
    first.control().set_faults(|faults| faults.lost_answers = 1);
    let mut run = support::run(1);
    assert!(support::post(first.address(), "/run", &run).await.is_err());
    run.request = support::run(2).request;
    assert_eq!(support::post(second.address(), "/run", &run).await?.status, 200);
    let found = check::check(&history.records(), &check::Options::default());
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].promise, BrokenPromise::DoubledRun);
    let run = BrokenSubject::Run { caller: run.caller, caller_request: run.caller_request };
    assert_eq!(found[0].subject, run);
    Ok(())
}

/// A target that drains is sent work although it has refused it before: each
/// such send is found, refused or not.
#[tokio::test]
async fn work_sent_to_a_draining_target_is_found() -> TestResult {
    let history = History::default();
    let target = target("leaving", &history).await?;
    target.control().set_wanted(DesiredState::Drain);
    for attempt in 1..=2 {
        let reply = support::post(target.address(), "/run", &support::run(attempt)).await?;
        assert_eq!(reply.status, 503);
    }
    let options = check::Options { drain_grace: Duration::ZERO, ..check::Options::default() };
    let found = check::check(&history.records(), &options);
    let found: Vec<BrokenPromise> = found.iter().map(|violation| violation.promise).collect();
    assert_eq!(found, [BrokenPromise::WorkToLeaving; 2]);
    let patient = check::Options { drain_grace: Duration::MAX, ..options };
    assert_eq!(check::check(&history.records(), &patient), []);
    Ok(())
}
