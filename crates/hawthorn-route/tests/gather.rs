//! When a scatter-gather query is answered, and which records its answer contains.

use std::time::Duration;

use hawthorn_route::gather::GatherState;
use hawthorn_route::gather::GatherStep;
use hawthorn_route::gather::Options;
use hawthorn_route::merge::TopRecords;

#[test]
fn a_query_waits_for_all_parts_until_its_soft_deadline_and_then_for_enough() {
    struct Case {
        name: &'static str,
        parts: usize,
        lost: usize,
        soft_time_left_ms: u64,
        step: GatherStep,
    }
    let cases = [
        Case {
            name: "no part yet",
            parts: 0,
            lost: 0,
            soft_time_left_ms: 50,
            step: GatherStep::Wait,
        },
        Case {
            name: "sufficient before the deadline",
            parts: 19,
            lost: 0,
            soft_time_left_ms: 50,
            step: GatherStep::Wait,
        },
        Case {
            name: "complete",
            parts: 20,
            lost: 0,
            soft_time_left_ms: 50,
            step: GatherStep::Answer,
        },
        Case {
            name: "all available parts",
            parts: 18,
            lost: 2,
            soft_time_left_ms: 50,
            step: GatherStep::Answer,
        },
        Case {
            name: "sufficient at the deadline",
            parts: 18,
            lost: 0,
            soft_time_left_ms: 0,
            step: GatherStep::Answer,
        },
        Case {
            name: "insufficient at the deadline",
            parts: 17,
            lost: 0,
            soft_time_left_ms: 0,
            step: GatherStep::Wait,
        },
        Case {
            name: "too many lost",
            parts: 10,
            lost: 3,
            soft_time_left_ms: 50,
            step: GatherStep::Fail,
        },
        Case {
            name: "all lost",
            parts: 0,
            lost: 20,
            soft_time_left_ms: 50,
            step: GatherStep::Fail,
        },
    ];
    for case in cases {
        let Case { parts, lost, .. } = case;
        let state = GatherState { shards: 20, parts, lost, min_share: 0.89 };
        assert_eq!(
            state.step(Duration::from_millis(case.soft_time_left_ms), &Options::default()),
            case.step,
            "{}",
            case.name
        );
    }
}

#[test]
fn an_answer_contains_the_greatest_records_in_descending_order() {
    let record = |byte: u8| [byte; 16];
    let mut top = TopRecords::new(3);
    top.add(&[record(1), record(9)].concat());
    top.add(&[record(9), record(4)].concat());
    top.add(&[&record(7)[..], &[255; 15]].concat());
    assert_eq!(top.into_body(), [record(9), record(9), record(7)].concat());
    assert!(TopRecords::new(5).into_body().is_empty());
}
