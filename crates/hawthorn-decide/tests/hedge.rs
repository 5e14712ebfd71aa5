//! Hedging, measured by the latency of whole queries and the extra load.

mod support;

use std::error::Error;

use hawthorn_decide::budget;
use hawthorn_decide::owner;
use support::CallerLoad;
use support::DAR_PORT;
use support::POLAND;
use support::Policy;
use support::SECOND;
use support::Simulation;
use support::Site;

struct TailCase {
    name: &'static str,
    site: Site,
    load: f64,
    share: f64,
    /// Minimum ratio of the baseline's p99 to the owner's.
    gain: f64,
}

const SECONDS: u64 = 10;
const CALLERS: u32 = 4;

fn run(case: &TailCase, policy: Policy) -> Simulation {
    let mut sim = Simulation::new(case.site, policy, 7);
    let rate = case.site.capacity() * case.load / f64::from(CALLERS);
    let load = |caller| CallerLoad {
        until: SECONDS * SECOND,
        ..CallerLoad::new(caller, rate, &case.site)
    };
    sim.add_load(&(0..CALLERS).map(load).collect::<Vec<_>>());
    sim.run((SECONDS + 5) * SECOND);
    sim
}

/// A query of twenty shards waits for the slowest: if 1 % of requests are twenty times slower, one
/// query in five is as slow as a straggler unless requests are hedged. Both policies get the same
/// arrivals and service times.
#[test]
fn stragglers_do_not_determine_the_tail() -> Result<(), Box<dyn Error>> {
    let dar = |stragglers| Site { stragglers, ..DAR_PORT };
    let poland = |stragglers| Site { stragglers, ..POLAND };
    // With 5 % stragglers, hedging nearly every one takes 5 + 0.25 % extra attempts. The default
    // budget of 5 % does not suffice, so a share of 6 % is tested as well.
    let single = Site { replicas: 1, ..dar(0.01) };
    let cases = [
        TailCase { name: "one replica 1 %", site: single, load: 0.2, share: 0.05, gain: 4.0 },
        TailCase { name: "Dar Port 1 %", site: dar(0.01), load: 0.2, share: 0.05, gain: 5.0 },
        TailCase { name: "Dar Port 1 %, 40 %", site: dar(0.01), load: 0.4, share: 0.05, gain: 5.0 },
        TailCase { name: "Poland 1 %", site: poland(0.01), load: 0.2, share: 0.05, gain: 5.0 },
        TailCase {
            name: "Poland 1 %, 40 %",
            site: poland(0.01),
            load: 0.4,
            share: 0.05,
            gain: 5.0,
        },
        TailCase { name: "Dar Port 3 %", site: dar(0.03), load: 0.2, share: 0.05, gain: 5.0 },
        TailCase { name: "Dar Port 3 %, 40 %", site: dar(0.03), load: 0.4, share: 0.05, gain: 4.0 },
        TailCase { name: "Poland 3 %", site: poland(0.03), load: 0.2, share: 0.05, gain: 5.0 },
        TailCase { name: "Dar Port 5 %", site: dar(0.05), load: 0.2, share: 0.05, gain: 1.5 },
        TailCase { name: "Poland 5 %", site: poland(0.05), load: 0.2, share: 0.05, gain: 1.5 },
        TailCase {
            name: "Dar Port 5 %, 6 % share",
            site: dar(0.05),
            load: 0.2,
            share: 0.06,
            gain: 4.0,
        },
    ];
    println!("| case | baseline p99 ms | owner p99 ms | gain | extra |");
    for case in cases {
        let budget = budget::Options { share: case.share, ..budget::Options::default() };
        let options = owner::Options { budget, ..owner::Options::default() };
        let baseline = run(&case, Policy::Baseline);
        let owner = run(&case, Policy::Owners(options));
        let before = baseline.quantile(None, 0.99) as f64;
        let after = owner.quantile(None, 0.99) as f64;
        println!(
            "| {} | {:.1} | {:.1} | {:.1} | {:.2} % |",
            case.name,
            before / 1e3,
            after / 1e3,
            before / after,
            owner.extra_ratio() * 100.0,
        );
        assert!(before / after >= case.gain, "{}: gain {}", case.name, before / after);
        assert!(owner.coverage() >= baseline.coverage(), "{}: coverage", case.name);
        let max_extra = case.share * owner.first_attempts() as f64 + budget.burst;
        assert!(
            owner.extra_ratio() * owner.first_attempts() as f64 <= max_extra,
            "{}: extra",
            case.name
        );
        assert_eq!(owner.over_limit, 0, "{}: slots", case.name);
    }
    Ok(())
}
