//! `hawthorn-soak`: prints, runs and replays seeded soaks of `hawthornroute route`.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

mod cli;

use std::error::Error;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use hawthorn_soak::campaign;
use hawthorn_soak::campaign::CampaignResult;
use hawthorn_soak::plan;
use hawthorn_soak::plan::SoakPlan;
use hawthorn_soak::report;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::cli::RunOptions;
use crate::cli::SoakCommand;

/// A promise was broken.
const VIOLATION: u8 = 1;
/// The soak could not run.
const NOT_RUN: u8 = 2;
/// Columns of the help text.
const MAX_HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let command = match cli::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(MAX_HELP_WIDTH);
            let is_help = failure.exit_code() == 0;
            return if is_help { ExitCode::SUCCESS } else { ExitCode::from(NOT_RUN) };
        }
    };
    match run(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hawthorn-soak: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}

fn run(command: SoakCommand) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        SoakCommand::Plan(options) => {
            let settings = options.settings()?;
            for seed in options.seeds.iter() {
                print!("{}", report::plan_text(&plan::plan(seed, options.length, &settings)));
            }
            Ok(ExitCode::SUCCESS)
        }
        SoakCommand::Run(planned, options) => {
            let settings = planned.settings()?;
            let seeds = planned.seeds.iter();
            let plans = seeds.map(|seed| plan::plan(seed, planned.length, &settings)).collect();
            run_plans(plans, &options)
        }
        SoakCommand::Replay(options, directory) => {
            run_plans(vec![report::read_plan(&directory)?], &options)
        }
    }
}

fn run_plans(plans: Vec<SoakPlan>, options: &RunOptions) -> Result<ExitCode, Box<dyn Error>> {
    if let Some(report) = &options.report {
        report::create(report)?;
    }
    let runtime = tokio::runtime::Runtime::new()?;
    let campaign = campaign::Options {
        program: program(options)?,
        jobs: options.jobs,
        report: options.report.clone(),
        progress: std::io::stderr().is_terminal(),
    };
    let mut violations = 0;
    let all = campaign::run_all(plans, &campaign, |result| {
        violations += result.outcome.violations.len();
        print_result(result);
    });
    runtime.block_on(async {
        tokio::select! {
            result = all => Ok::<(), Box<dyn Error>>(result?),
            interrupted = interrupted() => Err(interrupted.into()),
        }
    })?;
    println!("{violations} violations");
    Ok(if violations == 0 { ExitCode::SUCCESS } else { ExitCode::from(VIOLATION) })
}

/// Completes when this process is told to end; the hosts are killed when their run is dropped.
async fn interrupted() -> std::io::Error {
    let terminated = async { Some(signal(SignalKind::terminate()).ok()?.recv().await) };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        Some(_) = terminated => {}
    }
    std::io::Error::other("interrupted")
}

/// The program under test: as given, or beside this one.
fn program(options: &RunOptions) -> Result<PathBuf, Box<dyn Error>> {
    let program = match &options.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("hawthornroute"),
    };
    if !program.is_file() {
        return Err(format!("{} is no program; see --program", program.display()).into());
    }
    Ok(program)
}

fn print_result(result: &CampaignResult) {
    let history = &result.outcome.history;
    let faults: usize = history.faults.values().sum();
    println!(
        "seed {}: {} hosts, {} requests, {} arrivals, {faults} faults of {} kinds, {} violations",
        result.plan.seed,
        history.hosts.len(),
        history.requests.len(),
        history.arrivals.len(),
        history.faults.len(),
        result.outcome.violations.len()
    );
    for violation in &result.outcome.violations {
        println!("  {violation}");
    }
}
