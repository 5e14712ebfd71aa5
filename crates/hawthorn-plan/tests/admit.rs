//! Admission of whole queries under bursts, floods and lagging reports.

use std::error::Error;
use std::time::Duration;

use hawthorn_plan::FrontLoad;
use hawthorn_plan::admit;
use hawthorn_plan::admit::FrontStage;
use hawthorn_plan::admit::Outcome;
use hawthorn_plan::admit::QueryAsk;
use hawthorn_plan::admit::WaitReport;
use hawthorn_types::CallerKey;
use hawthorn_types::RefusalReason;

type TestResult = Result<(), Box<dyn Error>>;

const FLOOD: CallerKey = CallerKey(0);
const QUIET: CallerKey = CallerKey(1);
const NEWCOMER: CallerKey = CallerKey(2);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn ask(caller: CallerKey) -> QueryAsk {
    QueryAsk {
        caller,
        now: ms(1000),
        deadline: ms(1050),
        expected_wait: Duration::ZERO,
        stage: FrontStage::Serving,
        draw: 0,
    }
}

fn options(max_in_flight: u32) -> admit::Options {
    admit::Options { max_in_flight, ..admit::Options::default() }
}

fn admit_many(load: &mut FrontLoad, caller: CallerKey, count: u32, max_in_flight: u32) -> u32 {
    let asked = (0..count).map(|_| admit::admit(load, &ask(caller), &options(max_in_flight)));
    let admitted = asked.filter(|outcome| *outcome == Outcome::Admitted).count();
    u32::try_from(admitted).unwrap_or(u32::MAX)
}

struct DoorCase {
    name: &'static str,
    ask: QueryAsk,
    outcome: Outcome,
}

#[test]
fn each_reason_has_its_refusal() -> TestResult {
    let refused = |reason, retry_after: Option<u64>| Outcome::Refused {
        reason,
        retry_after: retry_after.map(ms),
    };
    let cases = [
        DoorCase { name: "room and time", ask: ask(QUIET), outcome: Outcome::Admitted },
        DoorCase {
            name: "no configuration yet",
            ask: QueryAsk { stage: FrontStage::Unconfigured, ..ask(QUIET) },
            outcome: refused(RefusalReason::NoConfiguration, Some(20)),
        },
        DoorCase {
            name: "stopping",
            ask: QueryAsk { stage: FrontStage::Stopping, ..ask(QUIET) },
            outcome: refused(RefusalReason::Stopping, Some(20)),
        },
        DoorCase {
            name: "stopping goes before a past deadline",
            ask: QueryAsk { stage: FrontStage::Stopping, deadline: ms(0), ..ask(QUIET) },
            outcome: refused(RefusalReason::Stopping, Some(20)),
        },
        DoorCase {
            name: "deadline past",
            ask: QueryAsk { deadline: ms(1000), ..ask(QUIET) },
            outcome: refused(RefusalReason::DeadlinePast, None),
        },
        DoorCase {
            name: "the wait leaves just the time to search",
            ask: QueryAsk { expected_wait: ms(45), ..ask(QUIET) },
            outcome: Outcome::Admitted,
        },
        DoorCase {
            name: "the wait is a millisecond too long",
            ask: QueryAsk { expected_wait: ms(46), ..ask(QUIET) },
            outcome: refused(RefusalReason::WaitBeyondDeadline, Some(20)),
        },
        DoorCase {
            name: "the wait is far too long: come back when it has shrunk",
            ask: QueryAsk { expected_wait: ms(345), ..ask(QUIET) },
            outcome: refused(RefusalReason::WaitBeyondDeadline, Some(300)),
        },
    ];
    for case in cases {
        let outcome = admit::admit(&mut FrontLoad::default(), &case.ask, &options(512));
        assert_eq!(outcome, case.outcome, "{}", case.name);
    }
    Ok(())
}

/// A member firm's batch job floods one front; another member's conflict check
/// comes a moment later and is refused, though it has sent nothing all day.
/// The cause would be a bound that looks only at the sum.
#[test]
fn a_flood_leaves_others_their_share() -> TestResult {
    struct FloodCase {
        name: &'static str,
        quiet_before: bool,
        flood_admitted: u32,
        quiet_admitted: u32,
        newcomer_admitted: u32,
    }
    let cases = [
        FloodCase {
            name: "alone, all is used but what waits for a newcomer",
            quiet_before: false,
            flood_admitted: 60,
            quiet_admitted: 4,
            newcomer_admitted: 0,
        },
        FloodCase {
            name: "another is present, and keeps its half",
            quiet_before: true,
            flood_admitted: 32,
            quiet_admitted: 31,
            newcomer_admitted: 1,
        },
    ];
    for case in cases {
        let mut load = FrontLoad::default();
        if case.quiet_before {
            load.asked(QUIET, ms(999));
        }
        assert_eq!(admit_many(&mut load, FLOOD, 500, 64), case.flood_admitted, "{}", case.name);
        let quiet = case.quiet_admitted;
        assert_eq!(admit_many(&mut load, QUIET, quiet, 64), quiet, "{}", case.name);
        let newcomer = case.newcomer_admitted;
        assert_eq!(admit_many(&mut load, NEWCOMER, newcomer, 64), newcomer, "{}", case.name);
        assert!(load.in_flight() <= 64, "{}", case.name);
    }
    Ok(())
}

/// A flood has filled the front before anyone else asked. Queries end one by
/// one; each free place must go to the caller below its share until it has
/// its share, however often the flood asks in between.
#[test]
fn freed_places_go_to_the_caller_below_its_share() -> TestResult {
    let mut load = FrontLoad::default();
    admit_many(&mut load, FLOOD, 500, 64);
    admit_many(&mut load, QUIET, 500, 64);
    for _ in 0..64 {
        load.finished(FLOOD, ms(10));
        admit_many(&mut load, FLOOD, 10, 64);
        admit_many(&mut load, QUIET, 10, 64);
        if load.held(FLOOD) <= 32 {
            break;
        }
    }
    assert_eq!((load.held(FLOOD), load.held(QUIET)), (32, 32));
    Ok(())
}

/// A front is refusing everything, and its owners' queues are long since empty.
/// The owners reported long queues, the front turned all queries away, and as
/// reports ride on answers, no newer report ever came.
#[test]
fn an_old_report_refuses_nobody() -> TestResult {
    struct ReportCase {
        name: &'static str,
        reports: &'static [(u64, u64)],
        wait: u64,
    }
    let cases = [
        ReportCase { name: "no report", reports: &[], wait: 0 },
        ReportCase { name: "the slowest decides", reports: &[(5, 4900), (90, 4950)], wait: 90 },
        ReportCase { name: "as old as is allowed", reports: &[(90, 4000)], wait: 90 },
        ReportCase { name: "too old", reports: &[(5, 4900), (90, 3999)], wait: 5 },
    ];
    for case in cases {
        let reports = case.reports.iter().map(|&(wait, reported_at)| WaitReport {
            wait: ms(wait),
            reported_at: ms(reported_at),
        });
        let wait = admit::expected_wait(reports, ms(5000), &options(64));
        assert_eq!(wait, ms(case.wait), "{}", case.name);
    }
    Ok(())
}

/// A burst is refused in one moment and told to come back. All told the same
/// moment, they would come back as the same burst.
#[test]
fn refused_callers_are_told_different_moments() -> TestResult {
    let mut load = FrontLoad::default();
    admit_many(&mut load, FLOOD, 500, 64);
    load.finished(FLOOD, ms(100));
    load.admitted(FLOOD);
    let mut moments = Vec::new();
    for draw in 0..8_u64 {
        let ask = QueryAsk { draw: draw << 61, ..ask(FLOOD) };
        let Outcome::Refused { retry_after: Some(after), .. } =
            admit::admit(&mut load, &ask, &options(64))
        else {
            return Err("admitted over its share, or without advice".into());
        };
        assert!((ms(100)..=ms(200)).contains(&after), "{after:?}");
        moments.push(after);
    }
    moments.dedup();
    assert_eq!(moments.len(), 8);
    Ok(())
}
