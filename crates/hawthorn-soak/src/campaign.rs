//! Several plans, some of them at the same time.

use std::path::Path;
use std::path::PathBuf;
use std::pin::pin;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use indicatif::MultiProgress;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use quick_error::quick_error;
use tempfile::TempDir;
use tokio::time::sleep;

use crate::fleet::FleetPlace;
use crate::plan::SoakPlan;
use crate::report;
use crate::run;
use crate::run::RunOutcome;

/// Time that a run takes beyond its load: the start, the stop of all hosts and the checks.
const OVERHEAD: Duration = Duration::from_secs(12);
/// Interval at which a progress bar moves.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);

static NEXT_NETWORK: AtomicU16 = AtomicU16::new(0);

quick_error! {
    /// Why a campaign could not be carried out.
    #[derive(Debug)]
    pub enum Error {
        /// A run failed.
        Run(seed: u64, source: run::Error) {
            display("seed {seed}: {source}")
            source(source)
        }
        /// A report cannot be written.
        Report(source: report::Error) {
            display("{source}")
            from()
        }
        /// A directory for the hosts' files cannot be created.
        Directory(source: std::io::Error) {
            display("no directory for the hosts' files: {source}")
            source(source)
            from()
        }
    }
}

/// How plans are run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The `hawthornroute` program.
    pub program: PathBuf,
    /// Number of runs at the same time.
    pub jobs: usize,
    /// Where the reports of runs with violations are kept.
    pub report: Option<PathBuf>,
    /// Whether a progress bar is drawn; only on a terminal.
    pub progress: bool,
}

/// The outcome of one plan.
#[derive(Debug)]
pub struct CampaignResult {
    /// The plan.
    pub plan: SoakPlan,
    /// What it showed.
    pub outcome: RunOutcome,
}

/// Runs all plans and passes each result to `handle` as soon as it is there.
///
/// # Errors
/// When a run could not be carried out, or a report not be written; all processes have then ended.
pub async fn run_all(
    plans: Vec<SoakPlan>,
    options: &Options,
    mut handle: impl FnMut(&CampaignResult),
) -> Result<(), Error> {
    let bars = MultiProgress::new();
    let runs = stream::iter(plans).map(|plan| run_one(plan, options, &bars));
    let mut results = pin!(runs.buffer_unordered(options.jobs));
    while let Some(result) = results.next().await {
        handle(&result?);
    }
    Ok(())
}

/// A loopback network that no other run on this machine uses at the same time.
fn next_network() -> u16 {
    let process = std::process::id() as u16;
    process.wrapping_mul(257).wrapping_add(NEXT_NETWORK.fetch_add(1, Ordering::Relaxed))
}

async fn run_one(
    plan: SoakPlan,
    options: &Options,
    bars: &MultiProgress,
) -> Result<CampaignResult, Error> {
    let directory = TempDir::new()?;
    let network = next_network();
    let place = FleetPlace { program: &options.program, directory: directory.path(), network };
    let bar = options.progress.then(|| bars.add(progress_bar(&plan)));
    let outcome = tokio::select! {
        biased;
        outcome = run::run(&plan, place) => outcome,
        () = advance(bar.as_ref()) => unreachable!("a progress bar advances for ever"),
    };
    if let Some(bar) = bar {
        bar.finish_and_clear();
    }
    let outcome = outcome.map_err(|source| Error::Run(plan.seed, source))?;
    if !outcome.violations.is_empty()
        && let Some(report) = &options.report
    {
        save_report(report, &plan, &outcome, directory.path())?;
    }
    Ok(CampaignResult { plan, outcome })
}

fn save_report(
    report: &Path,
    plan: &SoakPlan,
    outcome: &RunOutcome,
    logs: &Path,
) -> Result<(), Error> {
    let directory = report.join(format!("seed-{}", plan.seed));
    Ok(report::save(&directory, plan, outcome, logs)?)
}

fn progress_bar(plan: &SoakPlan) -> ProgressBar {
    let length = (plan.length + OVERHEAD).as_secs();
    let style = ProgressStyle::with_template("{msg:12} {bar:40} {pos}/{len} s")
        .expect("the template is a constant");
    ProgressBar::new(length).with_style(style).with_message(format!("seed {}", plan.seed))
}

async fn advance(bar: Option<&ProgressBar>) {
    loop {
        sleep(PROGRESS_PERIOD).await;
        if let Some(bar) = bar {
            bar.set_position(bar.elapsed().as_secs());
        }
    }
}
