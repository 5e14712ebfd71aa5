//! Order statistics and a least-squares fit.

use std::time::Duration;

/// The smallest value that at least `share` of the values do not exceed; NaN without values.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).ceil() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// The median; NaN without values.
pub fn median(values: &[f64]) -> f64 {
    quantile(values, 0.5)
}

/// The maximum; NaN without values.
pub fn max(values: &[f64]) -> f64 {
    quantile(values, 1.0)
}

/// The mean; NaN without values.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Converts to milliseconds.
pub fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FittedLine {
    /// Value at x = 0.
    pub intercept: f64,
    /// Increase per unit of x.
    pub slope: f64,
    /// Coefficient of determination.
    pub r_squared: f64,
}

/// Fits a least-squares line to points `(x, y)`; NaN with fewer than two points.
pub fn fit(points: &[(f64, f64)]) -> FittedLine {
    let (xs, ys): (Vec<f64>, Vec<f64>) = points.iter().copied().unzip();
    let (x_mean, y_mean) = (mean(&xs), mean(&ys));
    let sum = |of: &dyn Fn(f64, f64) -> f64| points.iter().map(|&(x, y)| of(x, y)).sum::<f64>();
    let xx = sum(&|x, _| (x - x_mean).powi(2));
    let xy = sum(&|x, y| (x - x_mean) * (y - y_mean));
    let yy = sum(&|_, y| (y - y_mean).powi(2));
    let slope = xy / xx;
    FittedLine { intercept: y_mean - slope * x_mean, slope, r_squared: xy * xy / (xx * yy) }
}
