//! Mean and standard deviation over all seeds.

/// The mean and standard deviation of one metric over all seeds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeedStatistics {
    mean: f64,
    standard_deviation: f64,
}

impl SeedStatistics {
    /// Computes the statistics of `values`; the deviation is the sample standard
    /// deviation, 0 for a single value.
    pub(crate) fn from_values(values: &[f64]) -> Self {
        let count = f64::from(u32::try_from(values.len().max(1)).unwrap_or(u32::MAX));
        let mean = values.iter().sum::<f64>() / count;
        let squared_error = |value: &f64| (value - mean).powi(2);
        let variance = values.iter().map(squared_error).sum::<f64>() / (count - 1.0).max(1.0);
        Self {
            mean,
            standard_deviation: variance.sqrt(),
        }
    }
}

impl std::fmt::Display for SeedStatistics {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let digits = usize::from(self.mean < 100.0);
        write!(
            formatter,
            "{:.digits$} ± {:.digits$}",
            self.mean, self.standard_deviation
        )
    }
}
