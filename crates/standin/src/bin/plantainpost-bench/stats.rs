//! Statistics of samples.

/// Returns the median, or NaN if there are no values.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => f64::NAN,
        count if count % 2 == 1 => values[count / 2],
        count => (values[count / 2 - 1] + values[count / 2]) / 2.0,
    }
}

/// Returns the largest value, or 0 if there is none above 0.
pub(crate) fn max(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, f64::max)
}

/// Returns the arithmetic mean, or NaN if there are no values.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}
