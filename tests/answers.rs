//! Answers of targets that must not reach callers.

mod support;

use hawthorn_standin::target::TargetFaults;
use hawthorn_types::CallerOutcome;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::is_complete;

/// Bad answers each target gives.
const BAD_ANSWERS: u32 = 3;

/// Over the daemons' limit of a mebibyte.
const OVERSIZED: usize = 2 << 20;

/// Queries to each host while answers are bad.
const QUERIES: usize = 10;

struct BadAnswerCase {
    name: &'static str,
    fault: fn(&mut TargetFaults),
    /// The series of the owners that counts it.
    counted: String,
}

/// A proxy before a target mixes up connections, a target's software breaks, or
/// an answer is far too large. A clerk would see another firm's filings, or the
/// host would run out of memory. Such answers are dropped and counted, the
/// shard is asked for elsewhere or reported missing, and once the target is
/// well again answers are whole.
#[tokio::test]
async fn bad_answers_are_dropped_counted_and_never_delivered() -> TestResult {
    let piece = |what, reason| format!("reason=\"{reason}\",what=\"{what}\"");
    let cases = [
        BadAnswerCase {
            name: "crossed",
            fault: |faults| faults.crossed_answers = BAD_ANSWERS,
            counted: piece("crossed-answers", ""),
        },
        BadAnswerCase {
            name: "over the limit",
            fault: |faults| {
                faults.oversized_answers = BAD_ANSWERS;
                faults.oversized_bytes = OVERSIZED;
            },
            counted: piece("missing", "answer-too-large"),
        },
        BadAnswerCase {
            name: "garbled",
            fault: |faults| faults.garbled_answers = BAD_ANSWERS,
            counted: piece("missing", "bad-answer"),
        },
        BadAnswerCase {
            name: "lost",
            fault: |faults| faults.lost_answers = BAD_ANSWERS,
            counted: piece("retried", "connection-failed"),
        },
    ];
    let options = FleetOptions { hosts: vec![1, 1, 1], ..FleetOptions::poland() };
    let fleet = TestFleet::start(options).await?;
    for case in cases {
        let before = noticed(&fleet, &case.counted).await?;
        for target in &fleet.deployment.targets {
            target.standin.control().set_faults(case.fault);
        }
        for index in 0..fleet.daemons.len() {
            for _ in 0..QUERIES {
                let answer = fleet.send(index, fleet.query("claim-desk")).await?;
                assert_eq!(answer.outcome, CallerOutcome::Answer, "{}: {answer:?}", case.name);
            }
        }
        let after = noticed(&fleet, &case.counted).await?;
        assert!(after > before, "{}: {before} noticed before, {after} after", case.name);
        for target in &fleet.deployment.targets {
            target.standin.control().set_faults(|faults| *faults = TargetFaults::default());
        }
        fleet.wait_until_ready().await?;
        for index in 0..fleet.daemons.len() {
            let answer = fleet.send(index, fleet.query("claim-desk")).await?;
            assert!(is_complete(&answer), "{}: {answer:?}", case.name);
        }
    }
    fleet.check()
}

/// A series, summed over all hosts.
async fn noticed(fleet: &TestFleet, label: &str) -> TestResult<f64> {
    let mut sum = 0.0;
    for index in 0..fleet.daemons.len() {
        sum += fleet.metric(index, "hawthorn_owner_pieces", label).await?;
    }
    Ok(sum)
}
