//! Invalid answers of targets, which must not reach callers.

mod support;

use hawthorn_standin::target::TargetFaults;
use hawthorn_types::CallerOutcome;
use support::FleetOptions;
use support::TestFleet;
use support::TestResult;
use support::fleet::is_complete;

/// The number of bad answers that each target gives.
const BAD_ANSWERS: u32 = 3;

/// Exceeds the daemons' limit of one mebibyte.
const OVERSIZED: usize = 2 << 20;

/// Queries to each host while targets give bad answers.
const QUERIES: usize = 10;

struct BadAnswerCase {
    name: &'static str,
    fault: fn(&mut TargetFaults),
    /// Labels of the `hawthorn_owner_pieces` series that counts the fault.
    labels: String,
}

/// A proxy in front of a target mixes up connections, the target sends garbage, or an answer
/// exceeds the size limit. Delivered, such an answer would show a caller another customer's records
/// or exhaust the host's memory. It is dropped and counted, the shard is queried at another replica
/// or reported missing, and answers are complete again once the fault ends.
#[tokio::test]
async fn bad_answers_are_dropped_counted_and_never_delivered() -> TestResult {
    let labels = |what, reason| format!("reason=\"{reason}\",what=\"{what}\"");
    let cases = [
        BadAnswerCase {
            name: "mismatched",
            fault: |faults| faults.mismatched_answers = BAD_ANSWERS,
            labels: labels("crossed-answers", ""),
        },
        BadAnswerCase {
            name: "oversized",
            fault: |faults| {
                faults.oversized_answers = BAD_ANSWERS;
                faults.oversized_bytes = OVERSIZED;
            },
            labels: labels("missing", "answer-too-large"),
        },
        BadAnswerCase {
            name: "malformed",
            fault: |faults| faults.malformed_answers = BAD_ANSWERS,
            labels: labels("missing", "bad-answer"),
        },
        BadAnswerCase {
            name: "lost",
            fault: |faults| faults.lost_answers = BAD_ANSWERS,
            labels: labels("retried", "connection-failed"),
        },
    ];
    let options = FleetOptions { hosts: vec![1, 1, 1], ..FleetOptions::poland() };
    let fleet = TestFleet::start(options).await?;
    for case in cases {
        let before = fault_count(&fleet, &case.labels).await?;
        for target in &fleet.deployment.targets {
            target.standin.control().set_faults(case.fault);
        }
        for index in 0..fleet.daemons.len() {
            for _ in 0..QUERIES {
                let answer = fleet.send(index, fleet.query("claim-desk")).await?;
                assert_eq!(answer.outcome, CallerOutcome::Answer, "{}: {answer:?}", case.name);
            }
        }
        let after = fault_count(&fleet, &case.labels).await?;
        assert!(after > before, "{}: counted {before} before, {after} after", case.name);
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

/// The value of a series, summed over all hosts.
async fn fault_count(fleet: &TestFleet, label: &str) -> TestResult<f64> {
    let mut sum = 0.0;
    for index in 0..fleet.daemons.len() {
        sum += fleet.metric(index, "hawthorn_owner_pieces", label).await?;
    }
    Ok(sum)
}
