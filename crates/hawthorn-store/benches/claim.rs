//! Store calls and latencies of claims over one minute of virtual time. Processor time is not
//! measured, so every run prints the same result.

#[path = "../tests/support/mod.rs"]
mod support;

use std::error::Error;
use std::time::Duration;

use hawthorn_store::claim;

use support::load;
use support::load::ClaimLoad;

const LATENCY: Duration = Duration::from_millis(3);
const MINUTE: u64 = 60;

struct LoadCase {
    rate: u64,
    buckets: u32,
    span: u64,
    hosts: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    println!(
        "claims/s buckets span s hosts  calls/100 claims  writes/s     kB/s  median ms  slowest ms"
    );
    let case = |rate, buckets, span| LoadCase { rate, buckets, span, hosts: 1 };
    let cases = [
        case(10, 8, 10),
        case(100, 8, 10),
        case(100, 8, 60),
        case(300, 8, 10),
        case(300, 8, 60),
        case(1000, 8, 1),
        case(1000, 8, 10),
        case(1000, 8, 60),
        case(1000, 2, 10),
        case(3000, 8, 1),
        case(3000, 8, 10),
        LoadCase { hosts: 2, ..case(100, 8, 10) },
        LoadCase { hosts: 8, ..case(100, 8, 10) },
        LoadCase { hosts: 8, ..case(10, 8, 10) },
        LoadCase { hosts: 8, ..case(300, 8, 10) },
    ];
    for LoadCase { rate, buckets, span, hosts } in cases {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build()?;
        let options = claim::Options { buckets, span, ..claim::Options::default() };
        let load = ClaimLoad { rate, seconds: MINUTE, hosts };
        let cost = runtime.block_on(load::steady(load, options, LATENCY))?;
        println!(
            "{rate:>8} {buckets:>7} {span:>6} {hosts:>5} {:>17.1} {:>9.0} {:>8.0} {:>10} {:>11}",
            cost.calls_per_hundred,
            cost.writes_per_second,
            cost.kilobytes_per_second,
            cost.median.as_millis(),
            cost.slowest.as_millis(),
        );
    }
    Ok(())
}
