//! Admission control under bursts, floods and stale wait reports.

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

fn request(caller: CallerKey) -> AdmissionRequest {
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
    // The windows admit everything, so that only shares limit admission.
    let window =
        window::Options { initial: f64::from(max_in_flight), ..window::Options::default() };
    admit::Options { max_in_flight, window, ..admit::Options::default() }
}

fn admit_many(load: &mut FrontLoad, caller: CallerKey, count: u32, max_in_flight: u32) -> u32 {
    let outcomes =
        (0..count).map(|_| admit::admit(load, &request(caller), &options(max_in_flight)));
    let admitted = outcomes.filter(|outcome| *outcome == Outcome::Admitted).count();
    u32::try_from(admitted).unwrap_or(u32::MAX)
}

struct AdmissionCase {
    name: &'static str,
    request: AdmissionRequest,
    outcome: Outcome,
}

#[test]
fn refusal_reason_matches_cause() -> TestResult {
    let refused =
        |reason, after: Option<u64>| Outcome::Refused { reason, retry_after: after.map(ms) };
    let case = |name, request, outcome| AdmissionCase { name, request, outcome };
    let at = |stage| AdmissionRequest { stage, ..request(QUIET) };
    let until = |deadline| AdmissionRequest { deadline: ms(deadline), ..request(QUIET) };
    let behind = |wait| AdmissionRequest { expected_wait: ms(wait), ..request(QUIET) };
    let stopping = refused(RefusalReason::Stopping, Some(20));
    let unconfigured = refused(RefusalReason::NoConfiguration, Some(20));
    let past = refused(RefusalReason::DeadlinePast, None);
    let wait = |after| refused(RefusalReason::WaitBeyondDeadline, Some(after));
    let cases = [
        case("free slot and enough time", request(QUIET), Outcome::Admitted),
        case("no configuration yet", at(FrontStage::Unconfigured), unconfigured),
        case("stopping", at(FrontStage::Stopping), stopping),
        case(
            "stopping takes precedence over a past deadline",
            AdmissionRequest { deadline: ms(0), ..at(FrontStage::Stopping) },
            stopping,
        ),
        case("deadline past", until(1000), past),
        case("the wait leaves exactly the search time", behind(45), Outcome::Admitted),
        case("the wait is a millisecond too long", behind(46), wait(20)),
        case("the wait is far too long: retry after the excess", behind(345), wait(300)),
    ];
    for case in cases {
        let outcome = admit::admit(&mut FrontLoad::default(), &case.request, &options(512));
        assert_eq!(outcome, case.outcome, "{}", case.name);
    }
    Ok(())
}

/// Guards against one caller's flood occupying every slot, so that another caller's
/// first query is refused. A limit on the total alone would allow that.
#[test]
fn flood_leaves_other_callers_their_share() -> TestResult {
    struct FloodCase {
        name: &'static str,
        quiet_is_active: bool,
        /// Queries admitted of the flood, the quiet caller and a newcomer.
        admitted: [u32; 3],
    }
    let case = |name, quiet_is_active, admitted| FloodCase { name, quiet_is_active, admitted };
    let cases = [
        case("alone: all but the reserved slots are used", false, [60, 4, 0]),
        case("another caller is active and keeps its half", true, [32, 31, 1]),
    ];
    for case in cases {
        let mut load = FrontLoad::default();
        if case.quiet_is_active {
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

/// A flood has filled the front before another caller sends queries. Each slot that
/// becomes free must go to the caller below its share until shares are equal,
/// however many queries the flood sends in between.
#[test]
fn freed_slots_go_to_the_caller_below_its_share() -> TestResult {
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

/// Guards against a front that refuses every query while its owners' queues are
/// empty: wait reports are piggybacked on answers, so a front that refuses
/// everything receives no newer report.
#[test]
fn expired_wait_reports_are_ignored() -> TestResult {
    struct ReportCase {
        name: &'static str,
        reports: &'static [(u64, u64)],
        wait: u64,
    }
    let cases = [
        ReportCase { name: "no report", reports: &[], wait: 0 },
        ReportCase {
            name: "the slowest owner is decisive",
            reports: &[(5, 4900), (90, 4950)],
            wait: 90,
        },
        ReportCase { name: "exactly at the TTL", reports: &[(90, 4000)], wait: 90 },
        ReportCase { name: "expired", reports: &[(5, 4900), (90, 3999)], wait: 5 },
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

/// Guards against callers that were refused together retrying together, as the same
/// burst.
#[test]
fn retry_after_is_jittered() -> TestResult {
    let mut load = FrontLoad::default();
    admit_many(&mut load, FLOOD, 500, 64);
    load.record_completion(FLOOD, ms(100));
    load.record_admission(FLOOD);
    let mut delays = Vec::new();
    for bits in 0..8_u64 {
        let request = AdmissionRequest { random: bits << 61, ..request(FLOOD) };
        let Outcome::Refused { retry_after: Some(after), .. } =
            admit::admit(&mut load, &request, &options(64))
        else {
            return Err("admitted over its share, or refused without retry_after".into());
        };
        assert!((ms(100)..=ms(200)).contains(&after), "{after:?}");
        delays.push(after);
    }
    delays.dedup();
    assert_eq!(delays.len(), 8);
    Ok(())
}
