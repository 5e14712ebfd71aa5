//! What an owner has seen of service times, the only ground on which it places
//! and hedges: health and load pages lag or mislead.

/// Buckets for each doubling of the service time: 2^(1/8) is a step of 9 %.
const STEPS_PER_DOUBLING: f64 = 8.0;
/// 8 steps for each of 24 doublings: 16 microseconds to 268 seconds.
const BUCKET_COUNT: usize = 192;
/// The service time of the first bucket, in microseconds.
const FIRST_BUCKET: f64 = 16.0;
/// Samples after which all counts are halved, so that the quantiles follow a
/// change within about a thousand requests.
const DECAY_SAMPLES: u32 = 1024;
/// Quantiles are worked out anew after so many samples, which keeps the cost
/// of a scan over the buckets out of most decisions.
const REFRESH_SAMPLES: u32 = 32;

/// Service times of one shard over all its replicas.
#[derive(Debug)]
pub struct ServiceTimes {
    counts: [u32; BUCKET_COUNT],
    total: u32,
    fresh: u32,
    median: u64,
    p90: u64,
}

impl ServiceTimes {
    /// Without samples; answers `guess` microseconds until there are some.
    pub fn new(guess: u64) -> Self {
        Self {
            counts: [0; BUCKET_COUNT],
            total: 0,
            fresh: 0,
            median: guess,
            p90: guess.saturating_mul(2),
        }
    }

    /// Half of the requests take at most so long, in microseconds.
    pub fn median(&self) -> u64 {
        self.median
    }

    /// Nine in ten requests take at most so long, in microseconds.
    pub fn p90(&self) -> u64 {
        self.p90
    }

    /// Takes in one request's time, or for a cancelled one the time it had
    /// taken when it was cancelled: the quantiles used here are below it.
    pub fn record(&mut self, elapsed: u64) {
        self.counts[bucket_of(elapsed)] += 1;
        self.total += 1;
        self.fresh += 1;
        if self.total >= DECAY_SAMPLES {
            self.halve();
        }
        if self.fresh >= REFRESH_SAMPLES {
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
        self.fresh = 0;
        self.median = self.quantile(0.5);
        self.p90 = self.quantile(0.9);
    }

    fn quantile(&self, share: f64) -> u64 {
        let rank = f64::from(self.total) * share;
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if f64::from(seen) >= rank && seen > 0 {
                return bucket_top(bucket);
            }
        }
        bucket_top(BUCKET_COUNT - 1)
    }
}

fn bucket_of(elapsed: u64) -> usize {
    let doublings = (elapsed as f64 / FIRST_BUCKET).max(1.0).log2();
    ((doublings * STEPS_PER_DOUBLING) as usize).min(BUCKET_COUNT - 1)
}

fn bucket_top(bucket: usize) -> u64 {
    (FIRST_BUCKET * ((bucket + 1) as f64 / STEPS_PER_DOUBLING).exp2()) as u64
}
