//! Which shards of a query are not asked for at all.
//!
//! The load it is for: some shards have lost a target, or theirs are slow, and
//! callers ask for more than what is left can do. An answer leaves at its aim
//! with the parts that are in, so a part that cannot come by then is work for
//! nothing, and lengthens the queue for the queries behind it. The harm it
//! prevents: the same few shards hold up every query, and each is late or fails
//! although the others could answer it. The limit: no more shards than the
//! answer may do without, and only such whose queues, as told, are longer than
//! the time; what was told is forgotten soon, so that they are asked again.

use std::time::Duration;

use serde::Deserialize;

use crate::placement::PlacementView;

/// Limits of skipping.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Shards are left out at all.
    pub on: bool,
    /// A part cannot come in time when its wait and its work together take more
    /// than this share of the time: waits are told by answers, and grow until
    /// the next one. 0.75, 1.0 and 1.4 are worth the same (0.737, 0.736 and 0.738,
    /// mean of five days with trouble and three seeds, callers 3 ms away); on days
    /// of bursts 0.75 left callers 0.01 of worth better off than 0.9.
    pub time_share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self { on: true, time_share: 0.75 }
    }
}

/// The places of at most `most` shards whose parts cannot come within `time`,
/// those with the longest queues first.
pub fn skip<'a>(
    view: PlacementView<'_>,
    shards: impl Iterator<Item = (u16, &'a str)>,
    most: usize,
    time: Duration,
    options: &Options,
) -> Vec<u16> {
    if most == 0 || !options.on {
        return Vec::new();
    }
    let limit = time.mul_f64(options.time_share);
    let expected = shards.filter_map(|(place, shard)| Some((expected(view, shard)?, place)));
    let mut hopeless: Vec<(Duration, u16)> =
        expected.filter(|(expected, _)| *expected > limit).collect();
    hopeless.sort_unstable_by(|a, b| b.cmp(a));
    hopeless.truncate(most);
    hopeless.into_iter().map(|(_, place)| place).collect()
}

/// How long a part takes, queue and work; `None` where no target takes work, or one
/// has no queue and answers as usual, as far as is known.
fn expected(view: PlacementView<'_>, shard: &str) -> Option<Duration> {
    let wait = view.queue_wait(shard)?;
    (!wait.is_zero()).then(|| view.service_time + wait)
}

/// How many shards of each part of a query may be skipped, so that together they
/// are no more than the answer may do without: by the size of the parts.
pub fn apportion(spare: usize, parts: &[usize]) -> Vec<usize> {
    let all: usize = parts.iter().sum();
    if all == 0 {
        return vec![0; parts.len()];
    }
    let spare = spare.min(all);
    let mut shares: Vec<usize> = parts.iter().map(|part| spare * part / all).collect();
    let mut left = spare - shares.iter().sum::<usize>();
    // What does not divide goes to the parts that are furthest from their due.
    let mut order: Vec<usize> = (0..parts.len()).collect();
    order.sort_by_key(|part| std::cmp::Reverse((spare * parts[*part] % all, parts[*part])));
    for part in order {
        if left > 0 && shares[part] < parts[part] {
            shares[part] += 1;
            left -= 1;
        }
    }
    shares
}
