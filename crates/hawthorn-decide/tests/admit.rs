//! Admission, by its outcome for callers.

mod support;

use std::error::Error;
use std::time::Duration;

use hawthorn_decide::owner;
use hawthorn_types::MissingReason;
use hawthorn_types::RefusalReason;
use hawthorn_types::RetryReason;
use support::CallerLoad;
use support::DAR_PORT;
use support::MILLI;
use support::Policy;
use support::SECOND;
use support::World;

struct LoadCase {
    name: &'static str,
    /// Offered load over capacity, steady or in bursts of 100 ms each second.
    load: f64,
    burst: f64,
    deadline: u64,
    /// The most that can be done in time, over capacity: what is offered, or
    /// all capacity, or in bursts the capacity until the burst's last deadline.
    best: f64,
    /// Least goodput over that.
    goodput: f64,
    /// Most extra attempts over first attempts.
    extra: f64,
}

const SECONDS: u64 = 5;

/// Ship agents search faster than the targets can answer. Queries that cannot
/// be done in time would fill the queues, and every answer would come too late
/// although every slot is busy. The owner refuses the surplus at once; what it
/// takes in, it answers whole.
#[test]
fn overload_costs_only_the_surplus() -> Result<(), Box<dyn Error>> {
    let steady = LoadCase {
        name: "half load",
        load: 0.5,
        burst: 0.0,
        deadline: 200 * MILLI,
        best: 0.5,
        goodput: 0.99,
        extra: 0.02,
    };
    let cases = [
        LoadCase { ..steady },
        LoadCase {
            name: "twice capacity",
            load: 2.0,
            best: 1.0,
            goodput: 0.9,
            extra: 0.005,
            ..steady
        },
        LoadCase {
            name: "five times capacity",
            load: 5.0,
            best: 1.0,
            goodput: 0.9,
            extra: 0.005,
            ..steady
        },
        LoadCase {
            name: "bursts",
            load: 0.3,
            burst: 4.0,
            best: 0.7 * 0.3 + 0.3,
            goodput: 0.9,
            extra: 0.02,
            ..steady
        },
    ];
    for case in cases {
        let mut world = World::new(DAR_PORT, Policy::Owners(owner::Options::default()), 11);
        let rate = DAR_PORT.capacity();
        let base = CallerLoad {
            deadline: case.deadline,
            until: SECONDS * SECOND,
            ..CallerLoad::new(0, rate * case.load, &DAR_PORT)
        };
        let mut loads = vec![base];
        for second in 0..SECONDS {
            let from = second * SECOND;
            let until = from + 100 * MILLI;
            loads.push(CallerLoad { rate: rate * case.burst + 1e-9, from, until, ..base });
        }
        world.add_load(&loads);
        world.run((SECONDS + 2) * SECOND);

        let best = rate * SECONDS as f64 * case.best;
        let goodput = world.good(None) as f64 / best;
        let counters = world.fronts[0].counters();
        println!(
            "{}: goodput {goodput:.3} extra {:.4} p99 {}",
            case.name,
            world.extra(),
            world.quantile(None, 0.99)
        );
        assert!(goodput >= case.goodput, "{}: goodput {goodput}", case.name);
        assert!(world.extra() <= case.extra, "{}: extra {}", case.name, world.extra());
        assert_eq!(world.overfilled, 0, "{}: no target got more than its slots", case.name);
        assert_eq!(counters.waiting, [0, 0], "{}: nothing is left behind", case.name);
        assert!(counters.retried(RetryReason::Hedge) as f64 <= case.extra * world.sent as f64);
        for query in &world.queries {
            if let Some(retry_after) = query.refused {
                assert_eq!(query.end, query.start, "{}: a refusal comes at once", case.name);
                assert!(retry_after >= Duration::from_millis(5), "{}", case.name);
            }
        }
        let expired = counters.missing(MissingReason::QueuedPastDeadline);
        let refused = counters.refused(RefusalReason::WaitBeyondDeadline);
        assert!(expired * 50 <= counters.queued, "{}: {expired} expired", case.name);
        assert_eq!(refused > 0, case.load + case.burst > 1.0, "{}: {refused}", case.name);
    }
    Ok(())
}
