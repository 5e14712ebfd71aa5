//! Selects the shards of a query whose parts are not requested.
//!
//! Handles shards that have lost a target or are slow while callers send more queries than the
//! remaining targets can execute. A query is answered at its soft deadline with the parts
//! received, so that a part that cannot arrive by then wastes capacity and lengthens the queue
//! for later queries. Without skipping, the same few shards would delay every query until it is
//! late or fails, although the other shards suffice for its answer. No more shards are skipped
//! than may be missing from the answer, and only those whose reported queues are longer than the
//! time left. Reports expire soon, so that skipped shards are requested again.

use std::time::Duration;

use serde::Deserialize;

use crate::placement::PlacementView;

/// Settings of skipping.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Whether shards are skipped.
    pub on: bool,
    /// A part cannot arrive in time if its queueing delay and service time exceed this share of
    /// the time left. It is below 1 because queues grow until the next report.
    pub time_share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { on: true, time_share: 0.75 }
    }
}

/// The indexes of at most `max` shards whose parts cannot arrive within `time`, slowest first.
pub fn skip<'a>(
    view: PlacementView<'_>,
    shards: impl Iterator<Item = (u16, &'a str)>,
    max: usize,
    time: Duration,
    options: &Options,
) -> Vec<u16> {
    if max == 0 || !options.on {
        return Vec::new();
    }
    let limit = time.mul_f64(options.time_share);
    let expected =
        shards.filter_map(|(index, shard)| Some((expected_latency(view, shard)?, index)));
    let mut too_slow: Vec<(Duration, u16)> =
        expected.filter(|(expected, _)| *expected > limit).collect();
    too_slow.sort_unstable_by(|a, b| b.cmp(a));
    too_slow.truncate(max);
    too_slow.into_iter().map(|(_, index)| index).collect()
}

/// Queueing delay and service time of a part; `None` if no target is available, or if any
/// available target has no known queue.
fn expected_latency(view: PlacementView<'_>, shard: &str) -> Option<Duration> {
    let wait = view.queue_wait(shard)?;
    (!wait.is_zero()).then(|| view.service_time + wait)
}

/// Divides the shards that may be missing from an answer among the groups of a query's shards
/// that are gathered separately, in proportion to their sizes.
pub fn apportion(max_missing: usize, groups: &[usize]) -> Vec<usize> {
    let total: usize = groups.iter().sum();
    if total == 0 {
        return vec![0; groups.len()];
    }
    let max_missing = max_missing.min(total);
    let mut shares: Vec<usize> = groups.iter().map(|group| max_missing * group / total).collect();
    let mut remainder = max_missing - shares.iter().sum::<usize>();
    // The remainder goes to the groups with the largest fractional shares.
    let mut order: Vec<usize> = (0..groups.len()).collect();
    order.sort_by_key(|group| {
        std::cmp::Reverse((max_missing * groups[*group] % total, groups[*group]))
    });
    for group in order {
        if remainder > 0 && shares[group] < groups[group] {
            shares[group] += 1;
            remainder -= 1;
        }
    }
    shares
}
