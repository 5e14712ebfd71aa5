//! Schedules and reports, without sockets.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthorn_standin::load::LoadReport;
use hawthorn_standin::load::LoadScenario;
use hawthorn_standin::load::report::Sample;
use hawthorn_standin::load::report::SampleOutcome;
use hawthorn_standin::load::report::max_min_fair_shares;
use hawthorn_standin::load::schedule::ScheduleOptions;
use hawthorn_standin::load::schedule::schedule;
use hawthorn_types::RefusalReason;
use strum::IntoEnumIterator;

#[test]
fn the_same_seed_draws_the_same_schedule() {
    for scenario in LoadScenario::iter() {
        let options = ScheduleOptions { scenario, once_share: 0.2, ..ScheduleOptions::default() };
        let drawn = schedule(&options);
        assert!(!drawn.is_empty(), "{scenario}");
        assert_eq!(drawn, schedule(&options), "{scenario}");
        assert_ne!(drawn, schedule(&ScheduleOptions { seed: 2, ..options }), "{scenario}");
    }
}

struct RateCase {
    scenario: LoadScenario,
    /// Number of requests at a capacity of 1000 per second over ten seconds.
    drawn: std::ops::Range<usize>,
    /// Number of requests of the first caller.
    first: std::ops::Range<usize>,
}

#[test]
fn scenarios_offer_their_share_of_the_capacity() {
    let cases = [
        RateCase { scenario: LoadScenario::Steady, drawn: 3_700..4_300, first: 1_200..1_470 },
        RateCase { scenario: LoadScenario::Burst, drawn: 6_200..7_000, first: 2_000..2_400 },
        RateCase { scenario: LoadScenario::Flood, drawn: 22_000..23_400, first: 19_400..20_600 },
        RateCase { scenario: LoadScenario::Saturation, drawn: 14_500..15_500, first: 4_700..5_300 },
    ];
    for case in cases {
        let options = ScheduleOptions {
            scenario: case.scenario,
            duration: Duration::from_secs(10),
            capacity: 1000.0,
            ..ScheduleOptions::default()
        };
        let drawn = schedule(&options);
        let first = drawn.iter().filter(|request| request.caller == 0).count();
        assert!(case.drawn.contains(&drawn.len()), "{}: {}", case.scenario, drawn.len());
        assert!(case.first.contains(&first), "{}: {first}", case.scenario);
    }
}

struct FairCase {
    total: f64,
    demands: &'static [f64],
    shares: &'static [f64],
}

#[test]
fn fair_shares_satisfy_small_demands_first() {
    let cases = [
        FairCase { total: 9.0, demands: &[1.0, 2.0, 3.0], shares: &[1.0, 2.0, 3.0] },
        FairCase { total: 9.0, demands: &[100.0, 2.0, 3.0], shares: &[4.0, 2.0, 3.0] },
        FairCase { total: 9.0, demands: &[9.0, 9.0, 9.0], shares: &[3.0, 3.0, 3.0] },
        FairCase { total: 0.0, demands: &[1.0, 1.0], shares: &[0.0, 0.0] },
        FairCase { total: 1.0, demands: &[], shares: &[] },
    ];
    for case in cases {
        assert_eq!(
            max_min_fair_shares(case.total, case.demands),
            case.shares,
            "{:?}",
            case.demands
        );
    }
}

#[test]
fn a_report_aggregates_samples() {
    let answered = |coverage: f64| SampleOutcome::Answered { coverage };
    let outcomes = [
        (0, answered(1.0)),
        (0, answered(0.5)),
        (0, SampleOutcome::NotRun(RefusalReason::QueueFull)),
        (1, SampleOutcome::ConnectionLost),
        (1, SampleOutcome::NotRun(RefusalReason::QueueFull)),
        (2, SampleOutcome::NotOffered),
    ];
    let samples: Vec<Sample> = (1_u64..)
        .zip(outcomes)
        .map(|(number, (caller, outcome))| Sample {
            caller,
            search: true,
            latency: Duration::from_millis(number),
            outcome,
        })
        .collect();
    let report = LoadReport::new("tier", &ScheduleOptions::default(), &samples, 12, 4, &[]);
    insta::assert_snapshot!(report, @"calm             tier            6        2        1      1.0      2.0      2.0   0.7500  2.000        2      2    0.000      0");
    assert_eq!(report.refused, BTreeMap::from([("queue-full".to_owned(), 2)]));
    assert_eq!((report.cut, report.not_offered), (1, 1));
    assert_eq!(report.coverage_least, 0.5);
}
