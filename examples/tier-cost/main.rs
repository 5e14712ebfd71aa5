//! Measures the overhead of the tier with real `serve` processes and stand-ins on loopback.
//! Prints one JSON line per measured case and a table at the end. Sets no thresholds.
//!
//! Run `cargo build --release --bin hawthornroute` first, then
//! `cargo run --release --example tier-cost -- [--experiment NAME]...
//! [--daemons N]... [--program PATH]`
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod change;
mod control;
mod latency;
mod ready;
mod report;
mod setup;
mod stats;
mod support;
mod system;
mod takeover;
mod throughput;

use std::path::PathBuf;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use strum::IntoEnumIterator;

use crate::report::CostReport;
use crate::support::TestResult;

/// An experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::EnumIter, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum CostExperiment {
    /// Latency that the tier adds to a direct call.
    Latency,
    /// CPU time of a query and of a shard request.
    Throughput,
    /// Time from the start of a daemon to its readiness.
    Ready,
    /// Time until a configuration change is in force on all daemons.
    Change,
    /// Time until other hosts own the targets of a lost host.
    Takeover,
    /// Control overhead of an idle daemon.
    Control,
}

struct Arguments {
    experiment: Vec<CostExperiment>,
    daemons: Vec<usize>,
    program: Option<PathBuf>,
}

fn arguments() -> Arguments {
    let experiment = long("experiment").argument("NAME").many();
    let daemons = long("daemons")
        .help("Fleet sizes of change and control [default: 8 for change, 8 and 64 for control]")
        .argument("N")
        .many();
    let program = long("program")
        .help("The hawthornroute binary [default: in the parent of this program's directory]")
        .argument("PATH")
        .optional();
    construct!(Arguments { experiment, daemons, program }).to_options().run()
}

fn main() -> TestResult {
    let arguments = arguments();
    support::set_program(arguments.program.clone())?;
    let experiments = match arguments.experiment.is_empty() {
        true => CostExperiment::iter().collect(),
        false => arguments.experiment.clone(),
    };
    let mut report = CostReport::default();
    let runtime = tokio::runtime::Runtime::new()?;
    for experiment in experiments {
        runtime.block_on(run(experiment, &arguments.daemons, &mut report))?;
    }
    print!("{}", report.table());
    Ok(())
}

async fn run(experiment: CostExperiment, daemons: &[usize], report: &mut CostReport) -> TestResult {
    match experiment {
        CostExperiment::Latency => latency::run(report).await,
        CostExperiment::Throughput => throughput::run(report).await,
        CostExperiment::Ready => ready::run(report).await,
        CostExperiment::Change => change::run(daemons, report).await,
        CostExperiment::Takeover => takeover::run(report).await,
        CostExperiment::Control => control::run(daemons, report).await,
    }
}
