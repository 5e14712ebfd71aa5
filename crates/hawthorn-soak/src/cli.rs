//! Command-line parser.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use hawthorn_soak::settings;
use hawthorn_soak::settings::MAX_LENGTH_S;
use hawthorn_soak::settings::MIN_LENGTH_S;
use hawthorn_soak::settings::SoakSettings;

/// Default duration of the load in seconds.
const DEFAULT_LENGTH_S: u64 = 90;
/// Most runs at the same time.
const MAX_JOBS: usize = 16;
/// Most seeds of one command.
const MAX_SEEDS: u64 = 10_000;

/// A subcommand with its options.
#[derive(Clone, Debug)]
pub(crate) enum SoakCommand {
    Plan(PlanOptions),
    Run(PlanOptions, RunOptions),
    Replay(RunOptions, PathBuf),
}

/// What is planned.
#[derive(Clone, Debug)]
pub(crate) struct PlanOptions {
    pub(crate) seeds: SeedRange,
    pub(crate) length: Duration,
    pub(crate) settings: Option<PathBuf>,
}

impl PlanOptions {
    /// The settings of the file, or the defaults.
    pub(crate) fn settings(&self) -> Result<SoakSettings, settings::Error> {
        match &self.settings {
            Some(path) => SoakSettings::read(path),
            None => Ok(SoakSettings::default()),
        }
    }
}

/// How plans are run.
#[derive(Clone, Debug)]
pub(crate) struct RunOptions {
    pub(crate) jobs: usize,
    pub(crate) report: Option<PathBuf>,
    pub(crate) program: Option<PathBuf>,
}

/// One seed, or several in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SeedRange {
    first: u64,
    end: u64,
}

impl SeedRange {
    pub(crate) fn iter(self) -> impl Iterator<Item = u64> {
        self.first..self.end
    }
}

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = |text: &str| text.parse().map_err(|_| format!("{text:?} is not a seed"));
        let range = match text.split_once("..") {
            Some((first, end)) => Self { first: number(first)?, end: number(end)? },
            None => {
                let first: u64 = number(text)?;
                Self { first, end: first.saturating_add(1) }
            }
        };
        match range.end.checked_sub(range.first) {
            Some(1..=MAX_SEEDS) => Ok(range),
            _ => Err(format!("{text:?} is not a range of 1 to {MAX_SEEDS} seeds")),
        }
    }
}

pub(crate) fn command() -> OptionParser<SoakCommand> {
    let planned = plan_options();
    let plan = construct!(SoakCommand::Plan(planned))
        .to_options()
        .descr("Prints what a seed does, as TOML")
        .command("plan");
    let (planned, run) = (plan_options(), run_options());
    let run = construct!(SoakCommand::Run(planned, run))
        .to_options()
        .descr("Runs seeds; exits with 1 if a promise was broken, 2 if a run was not possible")
        .command("run");
    let run_options = run_options();
    let directory =
        positional::<PathBuf>("DIR").help("Directory of a kept run: DIR of `run`, with its seed");
    let replay = construct!(SoakCommand::Replay(run_options, directory))
        .to_options()
        .descr("Runs the plan of a kept run again")
        .command("replay");
    construct!([plan, run, replay])
        .to_options()
        .descr("Plays seeded faults against real route processes and checks their promises")
}

fn plan_options() -> impl Parser<PlanOptions> {
    let seeds = long("seed")
        .help("Seed, or N..M for the seeds from N to below M")
        .argument::<SeedRange>("N[..M]");
    let length = long("length")
        .help("Duration of the load in seconds")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_LENGTH_S)
        .display_fallback()
        .guard(
            |seconds| (MIN_LENGTH_S..=MAX_LENGTH_S).contains(seconds),
            "the length is not within 40 to 3600 seconds",
        )
        .map(Duration::from_secs);
    let settings = long("settings")
        .help("Settings in TOML: size of the fleet, load and permitted faults")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(PlanOptions { seeds, length, settings })
}

fn run_options() -> impl Parser<RunOptions> {
    let jobs = long("jobs")
        .help("Number of runs at the same time")
        .argument::<usize>("J")
        .fallback(1)
        .display_fallback()
        .guard(|jobs| (1..=MAX_JOBS).contains(jobs), "the jobs are not within 1 to 16");
    let report = long("report")
        .help("Directory for the reports of runs with violations")
        .argument::<PathBuf>("DIR")
        .optional();
    let program = long("program")
        .help("The program under test; `hawthornroute` beside this one if not given")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(RunOptions { jobs, report, program })
}
