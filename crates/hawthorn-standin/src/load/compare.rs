//! Runs the same schedule against the tier and the naive client, one after the other on
//! the same targets.

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

/// Pause between the two runs, in which the targets finish the work of the first.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Both reports of one schedule, and their ratios.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Report of the tier.
    pub tier: LoadReport,
    /// Report of the naive client.
    pub baseline: LoadReport,
    /// The p99 latency of complete answers of the tier divided by that of the naive
    /// client; below 1 is better.
    pub p99_ratio: f64,
    /// The number of complete answers of the tier divided by that of the naive client;
    /// above 1 is better.
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

/// Runs the schedule against `tier` and `baseline`.
pub async fn compare(
    tier: Arc<dyn QueryTier>,
    baseline: Arc<dyn QueryTier>,
    environment: &dyn LoadEnvironment,
    daemons: Option<&dyn DaemonControl>,
    options: &Options,
) -> Result<Comparison, run::Error> {
    let tier = run::run("tier", tier, environment, daemons, options).await?;
    // Remaining work of the first run must not slow the second.
    tokio::time::sleep(SETTLE_PAUSE).await;
    let baseline = run::run("naive", baseline, environment, daemons, options).await?;
    let p99_ratio = ratio(tier.latency_complete.p99_ms, baseline.latency_complete.p99_ms);
    let complete_ratio = ratio(tier.complete as f64, baseline.complete as f64);
    Ok(Comparison { tier, baseline, p99_ratio, complete_ratio })
}

/// The ratio of two figures; 0 / 0 is 1, as they do not differ.
fn ratio(numerator: f64, denominator: f64) -> f64 {
    match (numerator, denominator) {
        (0.0, 0.0) => 1.0,
        _ => numerator / denominator,
    }
}
