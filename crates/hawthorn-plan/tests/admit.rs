//! Admission of whole queries under bursts, floods and lagging reports.

use std::error::Error;
use std::time::Duration;

use hawthorn_plan::FrontLoad;
use hawthorn_plan::admit;
use hawthorn_plan::admit::AdmissionRequest;
use hawthorn_plan::admit::FrontStage;
use hawthorn_plan::admit::Outcome;
use hawthorn_plan::admit::WaitReport;
use hawthorn_plan::window;
use hawthorn_types::CallerKey;
use hawthorn_types::RefusalReason;

type TestResult = Result<(), Box<dyn Error>>;

const FLOOD: CallerKey = CallerKey(0);
const QUIET: CallerKey = CallerKey(1);
const NEWCOMER: CallerKey = CallerKey(2);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn ask(caller: CallerKey) -> AdmissionRequest {
    AdmissionRequest {
        caller,
        now: ms(1000),
        deadline: ms(1050),
        expected_wait: Duration::ZERO,
        stage: FrontStage::Serving,
        random: 0,
    }
}

fn options(max_in_flight: u32) -> admit::Options {
    // The windows stand open: what is tested here are the shares.
    let window =
        window::Options { initial: f64::from(max_in_flight), ..window::Options::default() };
    admit::Options { max_in_flight, window, ..admit::Options::default() }
}

fn admit_many(load: &mut FrontLoad, caller: CallerKey, count: u32, max_in_flight: u32) -> u32 {
    let asked = (0..count).map(|_| admit::admit(load, &ask(caller), &options(max_in_flight)));
    let admitted = asked.filter(|outcome| *outcome == Outcome::Admitted).count();
    u32::try_from(admitted).unwrap_or(u32::MAX)
}

struct DoorCase {
    name: &'static str,
    ask: AdmissionRequest,
    outcome: Outcome,
}

#[test]
fn each_reason_has_its_refusal() -> TestResult {
    let refused =
        |reason, after: Option<u64>| Outcome::Refused { reason, retry_after: after.map(ms) };
    let case = |name, ask, outcome| DoorCase { name, ask, outcome };
    let at = |stage| AdmissionRequest { stage, ..ask(QUIET) };
    let until = |deadline| AdmissionRequest { deadline: ms(deadline), ..ask(QUIET) };
    let behind = |wait| AdmissionRequest { expected_wait: ms(wait), ..ask(QUIET) };
    let stopping = refused(RefusalReason::Stopping, Some(20));
    let unconfigured = refused(RefusalReason::NoConfiguration, Some(20));
    let past = refused(RefusalReason::DeadlinePast, None);
    let wait = |after| refused(RefusalReason::WaitBeyondDeadline, Some(after));
    let cases = [
        case("room and time", ask(QUIET), Outcome::Admitted),
        case("no configuration yet", at(FrontStage::Unconfigured), unconfigured),
        case("stopping", at(FrontStage::Stopping), stopping),
        case(
            "stopping goes before a past deadline",
            AdmissionRequest { deadline: ms(0), ..at(FrontStage::Stopping) },
            stopping,
        ),
        case("deadline past", until(1000), past),
        case("the wait leaves just the time to search", behind(45), Outcome::Admitted),
        case("the wait is a millisecond too long", behind(46), wait(20)),
        case("the wait is far too long: come back when it has shrunk", behind(345), wait(300)),
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
        /// Admitted of the flood, of the quiet caller and of a newcomer.
        admitted: [u32; 3],
    }
    let case = |name, quiet_before, admitted| FloodCase { name, quiet_before, admitted };
    let cases = [
        case("alone, all is used but what waits for a newcomer", false, [60, 4, 0]),
        case("another is present, and keeps its half", true, [32, 31, 1]),
    ];
    for case in cases {
        let mut load = FrontLoad::default();
        if case.quiet_before {
            load.record_request(QUIET, ms(999));
        }
        let [flood, quiet, newcomer] = case.admitted;
        assert_eq!(admit_many(&mut load, FLOOD, 500, 64), flood, "{}", case.name);
        assert_eq!(admit_many(&mut load, QUIET, quiet, 64), quiet, "{}", case.name);
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
        load.record_completion(FLOOD, ms(10));
        admit_many(&mut load, FLOOD, 10, 64);
        admit_many(&mut load, QUIET, 10, 64);
        if load.caller_in_flight(FLOOD) <= 32 {
            break;
        }
    }
    assert_eq!((load.caller_in_flight(FLOOD), load.caller_in_flight(QUIET)), (32, 32));
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
    load.record_completion(FLOOD, ms(100));
    load.record_admission(FLOOD);
    let mut moments = Vec::new();
    for draw in 0..8_u64 {
        let ask = AdmissionRequest { random: draw << 61, ..ask(FLOOD) };
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
