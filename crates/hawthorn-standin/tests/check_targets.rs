//! The checker finds violations in the events that targets record.

mod support;

use std::time::Duration;

use hawthorn_standin::History;
use hawthorn_standin::TargetOptions;
use hawthorn_standin::TargetStandin;
use hawthorn_standin::check;
use hawthorn_standin::check::ViolationKind;
use hawthorn_standin::check::ViolationSubject;
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

/// Guards against an undetected duplicate run: the answer of the first target is lost,
/// and the tier sends the request to a second target under another request id.
#[tokio::test]
async fn a_run_at_two_targets_is_reported_as_duplicate() -> TestResult {
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
    assert_eq!(found[0].kind, ViolationKind::DuplicateRun);
    let run = ViolationSubject::Run { caller: run.caller, caller_request: run.caller_request };
    assert_eq!(found[0].subject, run);
    Ok(())
}

/// Guards against undetected attempts at a draining target: each one is reported, even
/// if the target refuses it.
#[tokio::test]
async fn work_sent_to_a_draining_target_is_reported() -> TestResult {
    let history = History::default();
    let target = target("draining", &history).await?;
    target.control().set_desired_state(DesiredState::Drain);
    for attempt in 1..=2 {
        let reply = support::post(target.address(), "/run", &support::run(attempt)).await?;
        assert_eq!(reply.status, 503);
    }
    let options = check::Options { drain_grace: Duration::ZERO, ..check::Options::default() };
    let found = check::check(&history.records(), &options);
    let found: Vec<ViolationKind> = found.iter().map(|violation| violation.kind).collect();
    assert_eq!(found, [ViolationKind::WorkToDraining; 2]);
    let unlimited_grace = check::Options { drain_grace: Duration::MAX, ..options };
    assert_eq!(check::check(&history.records(), &unlimited_grace), []);
    Ok(())
}
