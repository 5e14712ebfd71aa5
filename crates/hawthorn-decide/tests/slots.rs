//! Slots of targets while two owners believe that they hold them.

mod support;

use std::error::Error;

use hawthorn_decide::owner;
use hawthorn_types::MissingReason;
use hawthorn_types::RetryReason;
use support::CallerLoad;
use support::DAR_PORT;
use support::Policy;
use support::SECOND;
use support::Simulation;

const SECONDS: u64 = 5;

struct OverlapCase {
    name: &'static str,
    load: f64,
    /// Minimum fraction of the requested shards that is answered.
    coverage: f64,
    /// Maximum fraction of the attempts that arrive at a full target.
    over_limit_share: f64,
}

/// While ownership moves, two hosts send to every target for some seconds, with four attempts for
/// two slots. Targets then shed load, and if both owners retry until their budgets are spent,
/// shards go missing. Each owner must withhold a slot after a rejection, so that rejections stop.
#[test]
fn overlapping_owners_do_not_fail_callers() -> Result<(), Box<dyn Error>> {
    let cases = [
        OverlapCase { name: "low load", load: 0.3, coverage: 1.0, over_limit_share: 0.03 },
        OverlapCase { name: "high load", load: 0.7, coverage: 0.999, over_limit_share: 0.05 },
    ];
    for case in cases {
        let options = owner::Options::default();
        let both = Policy::Shares { fronts: 2, slots: DAR_PORT.slots, options };
        let mut sim = Simulation::new(DAR_PORT, both, 13);
        sim.sheds = true;
        let rate = DAR_PORT.capacity() * case.load;
        let load = CallerLoad::new(0, rate, &DAR_PORT);
        sim.add_load(&[CallerLoad { until: SECONDS * SECOND, ..load }]);
        sim.run((SECONDS + 2) * SECOND);
        let over_limit_share = sim.over_limit as f64 / sim.sent as f64;
        println!("{}: coverage {:.5}, over limit {over_limit_share:.4}", case.name, sim.coverage());
        assert!(sim.coverage() >= case.coverage, "{}: {}", case.name, sim.coverage());
        assert!(
            over_limit_share <= case.over_limit_share,
            "{}: {over_limit_share} of attempts over the limit",
            case.name
        );
        for front in &sim.fronts {
            let counters = front.counters();
            assert!(
                counters.retried(RetryReason::Shedding) > 0,
                "{}: the owners overlapped",
                case.name
            );
            let budget_spent = counters.missing(MissingReason::BudgetSpent);
            assert!(
                budget_spent * 1000 <= counters.queued,
                "{}: {budget_spent} without budget",
                case.name
            );
        }
    }
    Ok(())
}
