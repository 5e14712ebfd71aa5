//! The same schedule against the tier and the naive client, one after the other
//! on the same targets.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::environment::DaemonControl;
use super::environment::LoadEnvironment;
use super::report::LoadReport;
use super::report::table_header;
use super::run;
use super::run::Options;
use super::tier::QueryTier;

/// Pause between the two runs.
const SETTLE: Duration = Duration::from_millis(500);

/// Both reports of one schedule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// What came of it at the tier.
    pub tier: LoadReport,
    /// What came of it with the naive client.
    pub baseline: LoadReport,
    /// The p99 of the tier's complete answers over the naive client's; below 1 is
    /// better.
    pub p99_ratio: f64,
    /// The tier's complete answers over the naive client's; above 1 is better.
    pub complete_ratio: f64,
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}{}", table_header(), self.tier, self.baseline)?;
        writeln!(
            f,
            "p99 of complete answers x{:.2}, complete x{:.2}",
            self.p99_ratio, self.complete_ratio
        )
    }
}

/// Runs the schedule against both.
pub async fn compare(
    tier: Arc<dyn QueryTier>,
    baseline: Arc<dyn QueryTier>,
    stage: &dyn LoadEnvironment,
    daemons: Option<&dyn DaemonControl>,
    options: &Options,
) -> Result<Comparison, run::Error> {
    let tier = run::run("tier", tier, stage, daemons, options).await?;
    // What the first run left at the targets must not slow the second.
    tokio::time::sleep(SETTLE).await;
    let baseline = run::run("naive", baseline, stage, daemons, options).await?;
    let p99_ratio = ratio(tier.latency_complete.p99_ms, baseline.latency_complete.p99_ms);
    let complete_ratio = ratio(tier.complete as f64, baseline.complete as f64);
    Ok(Comparison { tier, baseline, p99_ratio, complete_ratio })
}

/// 0 over 0 is 1: nothing differs.
fn ratio(over: f64, under: f64) -> f64 {
    match (over, under) {
        (0.0, 0.0) => 1.0,
        _ => over / under,
    }
}
