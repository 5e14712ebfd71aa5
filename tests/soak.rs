//! Short soaks of real `route` processes: one with all faults, and those that once broke a promise.
//!
//! `docs/development/soak.md` says how to run longer ones, and how to read their reports.

mod support;

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use hawthorn_soak::campaign;
use hawthorn_soak::check::Promise;
use hawthorn_soak::plan;
use hawthorn_soak::plan::SoakPlan;
use hawthorn_soak::report;
use hawthorn_soak::settings::SoakSettings;
use serde::Deserialize;
use support::TestResult;

/// Seed of the run with all faults.
const SEED: u64 = 2;
/// Its duration; the start and the stop of the hosts take some seconds more.
const LENGTH: Duration = Duration::from_secs(50);

/// A plan that once broke a promise.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RegressionRun {
    seed: u64,
    length_s: u64,
    promise: Promise,
    mended: bool,
    cause: String,
}

#[derive(Debug, Deserialize)]
struct RegressionFile {
    run: Vec<RegressionRun>,
}

fn deployed(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/soak").join(name)
}

fn settings() -> TestResult<SoakSettings> {
    Ok(SoakSettings::read(&deployed("ci.toml"))?)
}

/// Runs a plan; the error holds all violations and the first one's path through the logs.
async fn run(plan: SoakPlan) -> TestResult {
    let kept = tempfile::TempDir::new()?;
    let options = campaign::Options {
        program: support::program(),
        jobs: 1,
        report: Some(kept.path().to_owned()),
        progress: false,
    };
    let mut violations = Vec::new();
    let seed = plan.seed;
    campaign::run_all(vec![plan], &options, |result| {
        violations.extend(result.outcome.violations.iter().map(ToString::to_string));
    })
    .await?;
    if violations.is_empty() {
        return Ok(());
    }
    let page = kept.path().join(format!("seed-{seed}")).join(report::PAGE_FILE);
    Err(format!("{violations:#?}\n{}", std::fs::read_to_string(page)?).into())
}

/// Guards against promises that single faults do not break: signals, link faults, targets' faults,
/// outages of the store and changes of the configuration overlap.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_faults_break_no_promise() -> TestResult {
    run(plan::plan(SEED, LENGTH, &settings()?)).await
}

/// Guards against the return of faults that a soak has found.
#[tokio::test(flavor = "multi_thread")]
async fn mended_plans_break_no_promise() -> TestResult {
    let text = std::fs::read_to_string(deployed("regressions.toml"))?;
    let file: RegressionFile = toml::from_str(&text)?;
    for regression in file.run.iter().filter(|regression| regression.mended) {
        let RegressionRun { seed, promise, cause, .. } = regression;
        let length = Duration::from_secs(regression.length_s);
        let result = run(plan::plan(*seed, length, &settings()?)).await;
        result.map_err(|error| format!("seed {seed}, {promise}, {cause}: {error}"))?;
    }
    Ok(())
}
