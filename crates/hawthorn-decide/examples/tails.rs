//! Prints query latency, coverage and extra load of owners and of the baseline, both on the same
//! arrivals and service times.

#[path = "../tests/support/mod.rs"]
mod support;

use hawthorn_decide::owner;
use support::CallerLoad;
use support::DAR_PORT;
use support::POLAND;
use support::Policy;
use support::SECOND;
use support::Simulation;
use support::Site;

const SEED: u64 = 7;
const SECONDS: u64 = 30;

fn run(site: Site, policy: Policy, load: f64) -> Simulation {
    let mut sim = Simulation::new(site, policy, SEED);
    let rate = site.capacity() * load / 4.0;
    let loads: Vec<CallerLoad> = (0..4)
        .map(|caller| CallerLoad {
            until: SECONDS * SECOND,
            ..CallerLoad::new(caller, rate, &site)
        })
        .collect();
    sim.add_load(&loads);
    sim.run((SECONDS + 5) * SECOND);
    sim
}

fn main() {
    println!(
        "| site | stragglers | load | policy | p50 ms | p99 ms | p99.9 ms | coverage | extra | slot time |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let single = Site { replicas: 1, ..DAR_PORT };
    for (name, site) in [("Dar Port", DAR_PORT), ("Poland", POLAND), ("one replica", single)] {
        for stragglers in [0.0, 0.01, 0.03, 0.05] {
            for load in [0.2, 0.4] {
                let site = Site { stragglers, ..site };
                let wide = owner::Options {
                    budget: hawthorn_decide::budget::Options { share: 0.06, ..Default::default() },
                    ..owner::Options::default()
                };
                let policies = [
                    ("baseline", Policy::Baseline),
                    ("owner", Policy::Owners(owner::Options::default())),
                    ("owner, 6 % budget", Policy::Owners(wide)),
                ];
                for (policy_name, policy) in policies {
                    let sim = run(site, policy, load);
                    println!(
                        "| {name} | {} % | {} % | {policy_name} | {:.1} | {:.1} | {:.1} | {:.6} | {:.2} % | {:.2} |",
                        stragglers * 100.0,
                        load * 100.0,
                        sim.quantile(None, 0.5) as f64 / 1e3,
                        sim.quantile(None, 0.99) as f64 / 1e3,
                        sim.quantile(None, 0.999) as f64 / 1e3,
                        sim.coverage(),
                        sim.extra_ratio() * 100.0,
                        sim.slot_time as f64
                            / (SECONDS * SECOND * u64::from(site.targets()) * u64::from(site.slots))
                                as f64,
                    );
                }
            }
        }
    }
}
