//! Limits the extra work caused by fallbacks, hedges and repeated searches.

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Extra pieces allowed per hundred first attempts.
    pub percent: u32,
    /// Maximum balance, in extra pieces. Covers the queries in flight when one
    /// owner of three fails; later plans avoid that owner.
    pub burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { percent: 10, burst: 4096 }
    }
}

const HUNDREDTHS_PER_PIECE: u64 = 100;

/// Extra pieces that one front may still send, shared by all its queries.
///
/// Prevents retry storms: when an owner or a zone fails while the others are near
/// their limit, every query falls back at once, the remaining targets shed load,
/// and their refusals cause further fallbacks. Extra pieces are therefore
/// limited to a fixed ratio of first attempts, plus a burst that covers the loss
/// of one owner.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    hundredths: u64,
    options: Options,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(options: Options) -> Self {
        Self { hundredths: u64::from(options.burst) * HUNDREDTHS_PER_PIECE, options }
    }

    /// Credits `pieces` first attempts.
    pub fn earn(&mut self, pieces: usize) {
        let limit = u64::from(self.options.burst) * HUNDREDTHS_PER_PIECE;
        let earned = pieces as u64 * u64::from(self.options.percent);
        self.hundredths = (self.hundredths + earned).min(limit);
    }

    /// Spends `pieces`; returns `false` and spends nothing when the balance is too small.
    pub fn spend(&mut self, pieces: usize) -> bool {
        let cost = pieces as u64 * HUNDREDTHS_PER_PIECE;
        if self.hundredths < cost {
            return false;
        }
        self.hundredths -= cost;
        true
    }

    /// Extra pieces left, rounded down.
    pub fn remaining(&self) -> u64 {
        self.hundredths / HUNDREDTHS_PER_PIECE
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(Options::default())
    }
}
