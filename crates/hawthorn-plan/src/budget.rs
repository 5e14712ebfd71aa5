//! How much extra work fallbacks, hedges and second searches may cause.

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Extra pieces allowed for each hundred first pieces sent.
    pub percent: u32,
    /// Extra pieces that may be saved up. Enough for the queries in flight
    /// when one owner of three dies; the plans made afterwards avoid it.
    pub burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { percent: 10, burst: 4096 }
    }
}

const HUNDRED: u64 = 100;

/// Extra pieces that one front may still send, shared by all its queries.
///
/// Load: an owner or a whole zone fails while the rest is near its limit. The
/// harm is a retry storm: every query falls back at once, the targets left
/// shed, and their refusals cause the next fallbacks. Extra pieces are
/// therefore a fixed part of first pieces, with a burst that covers the loss
/// of one owner.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    hundredths: u64,
    options: Options,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(options: Options) -> Self {
        Self { hundredths: u64::from(options.burst) * HUNDRED, options }
    }

    /// Notes `pieces` sent for the first time.
    pub fn earn(&mut self, pieces: usize) {
        let limit = u64::from(self.options.burst) * HUNDRED;
        let earned = pieces as u64 * u64::from(self.options.percent);
        self.hundredths = (self.hundredths + earned).min(limit);
    }

    /// Takes `pieces` from the budget; `false`, and nothing taken, when it does not hold them.
    pub fn take(&mut self, pieces: usize) -> bool {
        let cost = pieces as u64 * HUNDRED;
        if self.hundredths < cost {
            return false;
        }
        self.hundredths -= cost;
        true
    }

    /// Whole extra pieces left.
    pub fn left(&self) -> u64 {
        self.hundredths / HUNDRED
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(Options::default())
    }
}
