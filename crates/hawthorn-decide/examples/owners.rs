//! Compares four policies of sharing the slots of targets between fronts, on the same arrivals: a
//! single owner, static shares, subsets of the targets, and credits borrowed from a lender.

#[path = "../tests/support/mod.rs"]
mod support;

use hawthorn_decide::owner;
use support::CallerLoad;
use support::DAR_PORT;
use support::MILLI;
use support::Policy;
use support::SECOND;
use support::Simulation;
use support::Site;

const SEED: u64 = 21;
const SECONDS: u64 = 10;
const FRONTS: usize = 8;
/// Round trip to an owner in another zone, which the other policies do not need.
const HOP: u64 = 3 * MILLI;
/// Interval at which credits are reassigned: a round trip to the lender.
const PERIOD: u64 = 3 * MILLI;

struct Load {
    name: &'static str,
    light: f64,
    heavy: f64,
}

fn policies() -> [(&'static str, Policy, u64); 5] {
    let options = owner::Options::default();
    let credits = |recall| Policy::Credits { fronts: FRONTS, period: PERIOD, recall, options };
    [
        ("owner", Policy::Owners(options), HOP),
        ("static shares", Policy::Shares { fronts: FRONTS, slots: 1, options }, 0),
        ("direct subsets", Policy::Subsets { fronts: FRONTS, options }, 0),
        ("credits until idle", credits(false), 0),
        ("credits recalled", credits(true), 0),
    ]
}

fn main() {
    let site = Site { stragglers: 0.01, ..DAR_PORT };
    let loads = [
        Load { name: "40 %", light: 0.2, heavy: 0.2 },
        Load { name: "80 %", light: 0.4, heavy: 0.4 },
        Load { name: "200 %", light: 1.0, heavy: 1.0 },
        Load { name: "10 % beside a flood of 300 %", light: 0.1, heavy: 3.0 },
    ];
    println!(
        "| load | policy | light p50 ms | light p99 ms | light answered | goodput | over limit | extra |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for load in loads {
        for (policy_name, policy, hop) in policies() {
            let mut sim = Simulation::new(site, policy, SEED);
            let caller = |caller, share: f64| CallerLoad {
                until: SECONDS * SECOND,
                deadline: 200 * MILLI,
                ..CallerLoad::new(caller, site.capacity() * share, &site)
            };
            sim.add_load(&[caller(0, load.light), caller(1, load.heavy)]);
            sim.run((SECONDS + 2) * SECOND);
            let light = sim.queries.iter().filter(|query| query.caller == 0).count();
            let offered = sim.queries.len() as f64;
            let achievable = offered.min(site.capacity() * SECONDS as f64);
            println!(
                "| {} | {policy_name} | {:.1} | {:.1} | {:.1} % | {:.1} % | {:.1} % | {:.2} % |",
                load.name,
                (sim.quantile(Some(0), 0.5) + hop) as f64 / 1e3,
                (sim.quantile(Some(0), 0.99) + hop) as f64 / 1e3,
                sim.completed(Some(0)) as f64 / light as f64 * 100.0,
                sim.completed(None) as f64 / achievable * 100.0,
                sim.over_limit as f64 / sim.sent as f64 * 100.0,
                sim.extra_ratio() * 100.0,
            );
        }
    }
}
