//! A figure over all seeds.

/// The mean of a figure over all seeds, and its standard deviation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeedSpread {
    mean: f64,
    deviation: f64,
}

impl SeedSpread {
    /// The spread of `values`.
    pub(crate) fn of(values: &[f64]) -> Self {
        let count = f64::from(u32::try_from(values.len().max(1)).unwrap_or(u32::MAX));
        let mean = values.iter().sum::<f64>() / count;
        let square = |value: &f64| (value - mean).powi(2);
        let variance = values.iter().map(square).sum::<f64>() / (count - 1.0).max(1.0);
        Self {
            mean,
            deviation: variance.sqrt(),
        }
    }
}

impl std::fmt::Display for SeedSpread {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let digits = usize::from(self.mean < 100.0);
        write!(
            formatter,
            "{:.digits$} ± {:.digits$}",
            self.mean, self.deviation
        )
    }
}
