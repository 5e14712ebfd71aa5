//! Prints four ways of holding a target's slots, on the same arrivals: one
//! owner, static shares, direct subsets, and credits borrowed from a lender.

#[path = "../tests/support/mod.rs"]
mod support;

use hawthorn_decide::owner;
use support::CallerLoad;
use support::DAR_PORT;
use support::MILLI;
use support::Policy;
use support::SECOND;
use support::Site;
use support::World;

const SEED: u64 = 21;
const SECONDS: u64 = 10;
const FRONTS: usize = 8;
/// To an owner in another zone and back; the fronts of the other ways need no
/// such hop.
const HOP: u64 = 3 * MILLI;
/// How often credits change hands: to the lender and back.
const PERIOD: u64 = 3 * MILLI;

struct Load {
    name: &'static str,
    modest: f64,
    greedy: f64,
}

fn policies() -> [(&'static str, Policy, u64); 5] {
    let options = owner::Options::default();
    let credits = |recall| Policy::Credits { fronts: FRONTS, period: PERIOD, recall, options };
    [
        ("owner", Policy::Owners(options), HOP),
        ("static shares", Policy::Shares { fronts: FRONTS, slots: 1, options }, 0),
        ("direct subsets", Policy::Subsets { fronts: FRONTS, options }, 0),
        ("credits until idle", credits(false), 0),
        ("credits called back", credits(true), 0),
    ]
}

fn main() {
    let site = Site { stragglers: 0.01, ..DAR_PORT };
    let loads = [
        Load { name: "40 %", modest: 0.2, greedy: 0.2 },
        Load { name: "80 %", modest: 0.4, greedy: 0.4 },
        Load { name: "200 %", modest: 1.0, greedy: 1.0 },
        Load { name: "10 % beside a flood of 300 %", modest: 0.1, greedy: 3.0 },
    ];
    println!(
        "| load | way | modest p50 ms | modest p99 ms | modest answered | goodput | overfilled | extra |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for load in loads {
        for (way, policy, hop) in policies() {
            let mut world = World::new(site, policy, SEED);
            let caller = |caller, share: f64| CallerLoad {
                until: SECONDS * SECOND,
                deadline: 200 * MILLI,
                ..CallerLoad::new(caller, site.capacity() * share, &site)
            };
            world.add_load(&[caller(0, load.modest), caller(1, load.greedy)]);
            world.run((SECONDS + 2) * SECOND);
            let modest = world.queries.iter().filter(|query| query.caller == 0).count();
            let offered = world.queries.len() as f64;
            let best = offered.min(site.capacity() * SECONDS as f64);
            println!(
                "| {} | {way} | {:.1} | {:.1} | {:.1} % | {:.1} % | {:.1} % | {:.2} % |",
                load.name,
                (world.quantile(Some(0), 0.5) + hop) as f64 / 1e3,
                (world.quantile(Some(0), 0.99) + hop) as f64 / 1e3,
                world.good(Some(0)) as f64 / modest as f64 * 100.0,
                world.good(None) as f64 / best * 100.0,
                world.overfilled as f64 / world.sent as f64 * 100.0,
                world.extra() * 100.0,
            );
        }
    }
}
