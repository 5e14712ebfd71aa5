//! Measured service times. Replica selection and hedging rely on them alone, as the health and
//! load that targets report can be stale or wrong.

/// Buckets per doubling of the service time: each is 2^(1/8), or 9 %, wide.
const STEPS_PER_DOUBLING: f64 = 8.0;
/// 8 steps for each of 24 doublings: 16 microseconds to 268 seconds.
const BUCKET_COUNT: usize = 192;
/// Lower bound of the first bucket, in microseconds.
const FIRST_BUCKET: f64 = 16.0;
/// Number of samples after which all counts are halved, so that the quantiles follow a change
/// within about a thousand requests.
const DECAY_SAMPLES: u32 = 1024;
/// Number of samples after which the cached quantiles are recomputed, so that most decisions need
/// no scan over the buckets.
const REFRESH_SAMPLES: u32 = 32;

/// Histogram of the service times of one shard over all its replicas, with decay.
#[derive(Debug)]
pub struct ServiceTimes {
    counts: [u32; BUCKET_COUNT],
    total: u32,
    since_refresh: u32,
    median: u64,
    p90: u64,
}

impl ServiceTimes {
    /// An empty histogram, whose median is `initial_estimate` microseconds until it has samples.
    pub fn new(initial_estimate: u64) -> Self {
        Self {
            counts: [0; BUCKET_COUNT],
            total: 0,
            since_refresh: 0,
            median: initial_estimate,
            p90: initial_estimate.saturating_mul(2),
        }
    }

    /// Median service time, in microseconds.
    pub fn median(&self) -> u64 {
        self.median
    }

    /// 90th percentile of the service time, in microseconds.
    pub fn p90(&self) -> u64 {
        self.p90
    }

    /// Records the service time of a request in microseconds. For a cancelled request it is the
    /// time until cancellation, which lies above the quantiles in use.
    pub fn record(&mut self, elapsed: u64) {
        self.counts[bucket_of(elapsed)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= DECAY_SAMPLES {
            self.halve();
        }
        if self.since_refresh >= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    fn halve(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        self.median = self.quantile(0.5);
        self.p90 = self.quantile(0.9);
    }

    fn quantile(&self, share: f64) -> u64 {
        let rank = f64::from(self.total) * share;
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if f64::from(seen) >= rank && seen > 0 {
                return bucket_bound(bucket);
            }
        }
        bucket_bound(BUCKET_COUNT - 1)
    }
}

fn bucket_of(elapsed: u64) -> usize {
    let doublings = (elapsed as f64 / FIRST_BUCKET).max(1.0).log2();
    ((doublings * STEPS_PER_DOUBLING) as usize).min(BUCKET_COUNT - 1)
}

fn bucket_bound(bucket: usize) -> u64 {
    (FIRST_BUCKET * ((bucket + 1) as f64 / STEPS_PER_DOUBLING).exp2()) as u64
}
