//! Order statistics and a line through points.

use std::time::Duration;

/// The value that this share of the values do not exceed; NaN of none.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).ceil() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// The middle value.
pub fn median(values: &[f64]) -> f64 {
    quantile(values, 0.5)
}

/// The largest value.
pub fn most(values: &[f64]) -> f64 {
    quantile(values, 1.0)
}

/// The mean; NaN of none.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Milliseconds.
pub fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FittedLine {
    /// Its value at 0.
    pub intercept: f64,
    /// Its rise a unit.
    pub slope: f64,
    /// The part of the variance that it explains.
    pub r_squared: f64,
}

/// The least-squares line through points `(x, y)`; NaN of fewer than two.
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
