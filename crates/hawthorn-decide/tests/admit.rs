//! Admission control, measured by the effect on callers.

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
use support::Simulation;

struct LoadCase {
    name: &'static str,
    /// Offered load over capacity, steady or in bursts of 100 ms each second.
    load: f64,
    burst: f64,
    deadline: u64,
    /// Maximum achievable goodput over capacity: the offered load, or all capacity, or for bursts
    /// the capacity until the last deadline of the burst.
    achievable: f64,
    /// Minimum ratio of goodput to that.
    goodput: f64,
    /// Maximum ratio of extra attempts to first attempts.
    extra: f64,
}

const SECONDS: u64 = 5;

/// Guards against queues that fill under overload with queries that cannot finish in time, so that
/// every answer misses its deadline although every slot is busy. The owner must reject the excess
/// at once and answer what it admits in full.
#[test]
fn overload_rejects_only_the_excess() -> Result<(), Box<dyn Error>> {
    let steady = LoadCase {
        name: "half load",
        load: 0.5,
        burst: 0.0,
        deadline: 200 * MILLI,
        achievable: 0.5,
        goodput: 0.99,
        extra: 0.02,
    };
    let cases = [
        LoadCase { ..steady },
        LoadCase {
            name: "twice capacity",
            load: 2.0,
            achievable: 1.0,
            goodput: 0.9,
            extra: 0.005,
            ..steady
        },
        LoadCase {
            name: "five times capacity",
            load: 5.0,
            achievable: 1.0,
            goodput: 0.9,
            extra: 0.005,
            ..steady
        },
        LoadCase {
            name: "bursts",
            load: 0.3,
            burst: 4.0,
            achievable: 0.7 * 0.3 + 0.3,
            goodput: 0.9,
            extra: 0.02,
            ..steady
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(DAR_PORT, Policy::Owners(owner::Options::default()), 11);
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
        sim.add_load(&loads);
        sim.run((SECONDS + 2) * SECOND);

        let achievable = rate * SECONDS as f64 * case.achievable;
        let goodput = sim.completed(None) as f64 / achievable;
        let counters = sim.fronts[0].counters();
        println!(
            "{}: goodput {goodput:.3} extra {:.4} p99 {}",
            case.name,
            sim.extra_ratio(),
            sim.quantile(None, 0.99)
        );
        assert!(goodput >= case.goodput, "{}: goodput {goodput}", case.name);
        assert!(sim.extra_ratio() <= case.extra, "{}: extra {}", case.name, sim.extra_ratio());
        assert_eq!(sim.over_limit, 0, "{}: no target gets more attempts than slots", case.name);
        assert_eq!(counters.waiting, [0, 0], "{}: no piece is left", case.name);
        assert!(counters.retried(RetryReason::Hedge) as f64 <= case.extra * sim.sent as f64);
        for query in &sim.queries {
            if let Some(retry_after) = query.refused {
                assert_eq!(query.end, query.start, "{}: rejections are immediate", case.name);
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
