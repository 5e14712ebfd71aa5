//! Measures what the tier costs: real `serve` processes over stand-ins on
//! loopback. Prints JSON lines as figures come, and a table at the end; passes
//! no verdict.
//!
//! `cargo build --release --bin hawthornroute` first, then
//! `cargo run --release --example tier-cost -- [--experiment NAME]...
//! [--daemons N]... [--program PATH]`
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod change;
mod control;
mod figures;
mod latency;
mod machine;
mod ready;
mod report;
mod setup;
mod support;
mod takeover;
mod throughput;

use std::path::PathBuf;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use strum::IntoEnumIterator;

use crate::report::CostReport;
use crate::support::TestResult;

/// What can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::EnumIter, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum CostExperiment {
    /// What the tier adds to a direct call.
    Latency,
    /// Processor time for a query and a shard request.
    Throughput,
    /// From the start of a daemon to its readiness.
    Ready,
    /// From a change of configuration to its being in force everywhere.
    Change,
    /// From the loss of a host to others serving its groups.
    Takeover,
    /// What a daemon at rest spends on control.
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
        .help("Fleet sizes of change and control; else 8, and 8 and 64")
        .argument("N")
        .many();
    let program = long("program")
        .help("The hawthornroute binary; else the one beside this program's directory")
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
