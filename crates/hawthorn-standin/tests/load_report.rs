//! What a schedule offers and how a report sums it up, without sockets.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthorn_standin::load::LoadReport;
use hawthorn_standin::load::LoadScenario;
use hawthorn_standin::load::report::Sample;
use hawthorn_standin::load::report::SampleEnd;
use hawthorn_standin::load::report::fair_parts;
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
    /// Requests drawn for a capacity of 1000 a second over ten seconds.
    drawn: std::ops::Range<usize>,
    /// Those of the first caller.
    first: std::ops::Range<usize>,
}

#[test]
fn scenarios_offer_their_part_of_the_capacity() {
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
    wanted: &'static [f64],
    parts: &'static [f64],
}

#[test]
fn fair_parts_serve_the_modest_first() {
    let cases = [
        FairCase { total: 9.0, wanted: &[1.0, 2.0, 3.0], parts: &[1.0, 2.0, 3.0] },
        FairCase { total: 9.0, wanted: &[100.0, 2.0, 3.0], parts: &[4.0, 2.0, 3.0] },
        FairCase { total: 9.0, wanted: &[9.0, 9.0, 9.0], parts: &[3.0, 3.0, 3.0] },
        FairCase { total: 0.0, wanted: &[1.0, 1.0], parts: &[0.0, 0.0] },
        FairCase { total: 1.0, wanted: &[], parts: &[] },
    ];
    for case in cases {
        assert_eq!(fair_parts(case.total, case.wanted), case.parts, "{:?}", case.wanted);
    }
}

#[test]
fn a_report_sums_samples_up() {
    let answered = |coverage: f64| SampleEnd::Answered { coverage };
    let ends = [
        (0, answered(1.0)),
        (0, answered(0.5)),
        (0, SampleEnd::NotRun(RefusalReason::QueueFull)),
        (1, SampleEnd::Cut),
        (1, SampleEnd::NotRun(RefusalReason::QueueFull)),
        (2, SampleEnd::NotOffered),
    ];
    let samples: Vec<Sample> = (1_u64..)
        .zip(ends)
        .map(|(number, (caller, end))| Sample {
            caller,
            search: true,
            latency: Duration::from_millis(number),
            end,
        })
        .collect();
    let report = LoadReport::new("tier", &ScheduleOptions::default(), &samples, 12, 4, &[]);
    insta::assert_snapshot!(report, @"calm             tier            6        2        1      1.0      2.0      2.0   0.7500  2.000        2      2    0.000      0");
    assert_eq!(report.refused, BTreeMap::from([("queue-full".to_owned(), 2)]));
    assert_eq!((report.cut, report.not_offered), (1, 1));
    assert_eq!(report.coverage_least, 0.5);
}
