//! Slots of targets while more than one owner believes it holds them.

mod support;

use std::error::Error;

use hawthorn_decide::owner;
use hawthorn_types::MissingReason;
use hawthorn_types::RetryReason;
use support::CallerLoad;
use support::DAR_PORT;
use support::Policy;
use support::SECOND;
use support::World;

const SECONDS: u64 = 5;

struct OverlapCase {
    name: &'static str,
    load: f64,
    /// Least part of the shards asked for that is answered.
    coverage: f64,
    /// Most attempts that come to a full target, of all.
    refused: f64,
}

/// Ownership moves, and for some seconds two hosts both send to every target.
/// Together they hold four attempts for two slots: targets shed, both owners
/// retry, and with their budgets spent shards would go missing. Each leaves a
/// slot unused after a refusal, so the refusals stop.
#[test]
fn two_owners_do_not_refuse_callers() -> Result<(), Box<dyn Error>> {
    let cases = [
        OverlapCase { name: "calm", load: 0.3, coverage: 1.0, refused: 0.03 },
        OverlapCase { name: "busy", load: 0.7, coverage: 0.999, refused: 0.05 },
    ];
    for case in cases {
        let options = owner::Options::default();
        let both = Policy::Shares { fronts: 2, slots: DAR_PORT.slots, options };
        let mut world = World::new(DAR_PORT, both, 13);
        world.sheds = true;
        let rate = DAR_PORT.capacity() * case.load;
        let load = CallerLoad::new(0, rate, &DAR_PORT);
        world.add_load(&[CallerLoad { until: SECONDS * SECOND, ..load }]);
        world.run((SECONDS + 2) * SECOND);
        let refused = world.overfilled as f64 / world.sent as f64;
        println!("{}: coverage {:.5}, refused {refused:.4}", case.name, world.coverage());
        assert!(world.coverage() >= case.coverage, "{}: {}", case.name, world.coverage());
        assert!(refused <= case.refused, "{}: {refused} refused", case.name);
        for front in &world.fronts {
            let counters = front.counters();
            assert!(counters.retried(RetryReason::Shedding) > 0, "{}: it overlapped", case.name);
            let spent = counters.missing(MissingReason::BudgetSpent);
            assert!(spent * 1000 <= counters.queued, "{}: {spent} spent", case.name);
        }
    }
    Ok(())
}
