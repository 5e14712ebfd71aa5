//! Limits, refusals and intent of a target.

mod support;

use std::time::Duration;

use hawthorn_standin::History;
use hawthorn_standin::TargetOptions;
use hawthorn_standin::TargetStandin;
use hawthorn_standin::history::HistoryEvent;
use hawthorn_standin::target::ServiceTime;
use hawthorn_standin::target::StateOverride;
use hawthorn_types::ConfigRevision;
use hawthorn_types::DesiredState;
use hawthorn_types::IndexVersion;
use hawthorn_types::TargetPhase;
use hawthorn_types::target::RefusedAttempt;
use hawthorn_types::target::TargetIntent;
use hawthorn_types::target::TargetRefusal;
use hawthorn_types::target::TargetState;
use support::Client;
use support::SERVICE;
use support::TestResult;

/// Service times longer than any test.
fn endless() -> ServiceTime {
    ServiceTime { typical: Duration::from_secs(60), spread: 0.0, ..ServiceTime::default() }
}

struct RefusalCase {
    name: &'static str,
    prepare: fn(&TargetStandin),
    status: u16,
    refusal: TargetRefusal,
}

#[tokio::test]
async fn refusals_report_their_reason_and_nothing_runs() -> TestResult {
    let cases = [
        RefusalCase {
            name: "shedding",
            prepare: |target| target.control().set_faults(|faults| faults.shedding = true),
            status: 503,
            refusal: TargetRefusal::Shedding,
        },
        RefusalCase {
            name: "draining",
            prepare: |target| target.control().set_desired_state(DesiredState::Drain),
            status: 503,
            refusal: TargetRefusal::Draining,
        },
        RefusalCase {
            name: "draining by itself while the intent is serve",
            prepare: |target| {
                target.control().set_draining(true);
                target.control().set_desired_state(DesiredState::Serve);
            },
            status: 503,
            refusal: TargetRefusal::Draining,
        },
        RefusalCase {
            name: "standby",
            prepare: |target| target.control().set_desired_state(DesiredState::Standby),
            status: 503,
            refusal: TargetRefusal::Draining,
        },
        RefusalCase {
            name: "cold",
            prepare: |target| target.control().restart_cold(),
            status: 503,
            refusal: TargetRefusal::Cold,
        },
        RefusalCase {
            name: "version retired",
            prepare: |target| target.control().retire(SERVICE, IndexVersion(1)),
            status: 409,
            refusal: TargetRefusal::VersionRetired,
        },
    ];
    for case in cases {
        let cold_start = Duration::from_secs(60);
        let target =
            TargetStandin::start(TargetOptions { cold_start, ..support::options() }).await?;
        if case.refusal != TargetRefusal::Cold {
            target.control().skip_cold_start();
        }
        (case.prepare)(&target);
        let reply = support::post(target.address(), "/search", &support::search(1)).await?;
        assert_eq!(reply.status, case.status, "{}", case.name);
        let refused: RefusedAttempt = reply.json()?;
        assert_eq!(refused.refusal, case.refusal, "{}", case.name);
        assert_eq!(refused.attempt, 1, "{}", case.name);
        let counters = target.control().counters();
        assert_eq!((counters.searches, counters.refused), (0, 1), "{}", case.name);
    }
    Ok(())
}

/// A tier that exceeds slots and queue causes refusals at targets that look idle. The
/// limits must hold exactly, so that tests can show that the tier respects them.
#[tokio::test]
async fn slots_then_queue_then_shedding() -> TestResult {
    let target = TargetStandin::start(TargetOptions {
        slots: 2,
        queue: 3,
        service_time: endless(),
        ..support::options()
    })
    .await?;
    for attempt in 0..5 {
        tokio::spawn(support::search_status(target.address(), attempt));
    }
    support::until(|| target.control().counters().waiting == 3).await?;
    let reply = support::post(target.address(), "/search", &support::search(9)).await?;
    assert_eq!(reply.json::<RefusedAttempt>()?.refusal, TargetRefusal::Shedding);
    let counters = target.control().counters();
    assert_eq!((counters.busy, counters.peak_busy), (2, 2));
    assert_eq!((counters.waiting, counters.peak_waiting), (3, 3));
    Ok(())
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() -> TestResult {
    let target =
        TargetStandin::start(TargetOptions { connections: 2, ..support::options() }).await?;
    let mut first = Client::connect(target.address()).await?;
    let mut second = Client::connect(target.address()).await?;
    assert_eq!(first.get("/state").await?.status, 200);
    assert_eq!(second.get("/state").await?.status, 200);
    let third = async { Client::connect(target.address()).await?.get("/state").await };
    assert!(third.await.is_err());
    let counters = target.control().counters();
    assert_eq!((counters.peak_connections, counters.connections_refused), (2, 1));
    drop(first);
    support::until(|| target.control().counters().connections == 1).await?;
    let mut fourth = Client::connect(target.address()).await?;
    assert_eq!(fourth.get("/state").await?.status, 200);
    Ok(())
}

/// A cancelled hedged request must release its slot immediately, or the target looks
/// overloaded until the request ends.
#[tokio::test]
async fn cancellation_releases_the_slot() -> TestResult {
    let target = TargetStandin::start(TargetOptions {
        slots: 1,
        service_time: endless(),
        ..support::options()
    })
    .await?;
    let running = tokio::spawn(support::search_status(target.address(), 1));
    support::until(|| target.control().counters().busy == 1).await?;
    let waiting = tokio::spawn(support::search_status(target.address(), 2));
    support::until(|| target.control().counters().waiting == 1).await?;
    for attempt in [2, 1] {
        let reply = support::post(target.address(), "/cancel", &support::cancel(attempt)).await?;
        assert_eq!(reply.status, 200);
    }
    assert_eq!((running.await?, waiting.await?), (409, 409));
    let counters = target.control().counters();
    assert_eq!((counters.busy, counters.waiting, counters.cancelled), (0, 0, 2));
    let unknown = support::post(target.address(), "/cancel", &support::cancel(3)).await?;
    assert_eq!(unknown.status, 404);
    Ok(())
}

/// Guards against the answer "not run" to a request that ran, when a cancellation or
/// deadline ends a started run. A started run must complete.
#[tokio::test]
async fn a_started_run_is_never_cancelled() -> TestResult {
    let target = TargetStandin::start(support::options()).await?;
    target.control().set_paused(true);
    let address = target.address();
    let sent = tokio::spawn(async move {
        let mut request = support::run(1);
        request.deadline_ms = 1;
        let reply = support::post(address, "/run", &request).await;
        reply.map(|reply| reply.status).unwrap_or_default()
    });
    support::until(|| target.control().counters().busy == 1).await?;
    support::post(address, "/cancel", &support::cancel(1)).await?;
    target.control().set_paused(false);
    assert_eq!(sent.await?, 200);
    assert_eq!(target.control().counters().runs, 1);
    Ok(())
}

#[tokio::test]
async fn a_search_past_its_deadline_releases_its_slot() -> TestResult {
    let target =
        TargetStandin::start(TargetOptions { service_time: endless(), ..support::options() })
            .await?;
    let mut search = support::search(1);
    search.deadline_ms = 20;
    let reply = support::post(target.address(), "/search", &search).await?;
    assert_eq!(reply.status, 409);
    assert_eq!(target.control().counters().busy, 0);
    Ok(())
}

#[tokio::test]
async fn state_lags_and_can_be_overridden() -> TestResult {
    let state_lag = Duration::from_secs(60);
    let target = TargetStandin::start(TargetOptions { state_lag, ..support::options() }).await?;
    target.control().set_desired_state(DesiredState::Drain);
    let mut client = Client::connect(target.address()).await?;
    assert_eq!(client.get("/state").await?.json::<TargetState>()?.phase, TargetPhase::Ready);
    let reported = StateOverride { phase: TargetPhase::Standby, busy: 9 };
    target.control().set_faults(|faults| faults.state_override = Some(reported));
    let shown: TargetState = client.get("/state").await?.json()?;
    assert_eq!((shown.phase, shown.busy), (reported.phase, reported.busy));

    let state_lag = Duration::from_millis(20);
    let target = TargetStandin::start(TargetOptions { state_lag, ..support::options() }).await?;
    target.control().set_desired_state(DesiredState::Drain);
    support::until(|| target.control().reported_state().phase == TargetPhase::Draining).await
}

#[tokio::test]
async fn intent_is_applied() -> TestResult {
    let history = History::default();
    let target =
        TargetStandin::start(TargetOptions { history: history.clone(), ..support::options() })
            .await?;
    let cases = [
        (DesiredState::Standby, TargetPhase::Standby, 1),
        (DesiredState::Drain, TargetPhase::Draining, 1),
        (DesiredState::Off, TargetPhase::Draining, 0),
        (DesiredState::Serve, TargetPhase::Ready, 1),
    ];
    for (wanted, phase, held) in cases {
        let intent = TargetIntent { wanted, revision: ConfigRevision(7) };
        support::post(target.address(), "/intent", &intent).await?;
        let shown = Client::connect(target.address()).await?.get("/state").await?;
        let shown: TargetState = shown.json()?;
        assert_eq!((shown.phase, shown.held.len()), (phase, held), "{wanted}");
    }
    let recorded: Vec<HistoryEvent> =
        history.records().into_iter().map(|record| record.event).collect();
    let name = || target.control().name().to_owned();
    let draining = HistoryEvent::TargetDraining { target: name() };
    assert_eq!(recorded, [draining, HistoryEvent::TargetServing { target: name() }]);
    target.control().set_faults(|faults| faults.ignore_intent = true);
    let drain = TargetIntent { wanted: DesiredState::Drain, revision: ConfigRevision(7) };
    support::post(target.address(), "/intent", &drain).await?;
    assert_eq!(target.control().phase(), TargetPhase::Ready);
    Ok(())
}

/// Guards against a paused host that resumes and sends an intent of an older revision: the
/// target must not drain again after operators have brought it back.
#[tokio::test]
async fn an_intent_of_an_older_revision_is_ignored() -> TestResult {
    struct IntentCase {
        revision: u64,
        wanted: DesiredState,
        phase: TargetPhase,
    }
    let target = TargetStandin::start(support::options()).await?;
    let case = |revision, wanted, phase| IntentCase { revision, wanted, phase };
    let cases = [
        case(0, DesiredState::Drain, TargetPhase::Draining),
        case(4, DesiredState::Drain, TargetPhase::Draining),
        case(5, DesiredState::Serve, TargetPhase::Ready),
        case(4, DesiredState::Drain, TargetPhase::Ready),
        case(0, DesiredState::Off, TargetPhase::Ready),
        case(5, DesiredState::Standby, TargetPhase::Standby),
    ];
    for case in cases {
        let revision = ConfigRevision(case.revision);
        let intent = TargetIntent { wanted: case.wanted, revision };
        support::post(target.address(), "/intent", &intent).await?;
        assert_eq!(target.control().phase(), case.phase, "{intent:?}");
    }
    Ok(())
}
