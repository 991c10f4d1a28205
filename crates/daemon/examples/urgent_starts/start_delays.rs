//! Start delays of urgent jobs.

/// Start delays of urgent jobs in milliseconds, sorted.
pub struct StartDelays {
    delays_ms: Vec<u64>,
}

impl FromIterator<u64> for StartDelays {
    fn from_iter<I: IntoIterator<Item = u64>>(delays_ms: I) -> Self {
        let mut delays_ms: Vec<u64> = delays_ms.into_iter().collect();
        delays_ms.sort_unstable();
        Self { delays_ms }
    }
}

impl StartDelays {
    fn quantile(&self, permille: usize) -> u64 {
        let last = self.delays_ms.len().saturating_sub(1);
        let index = last * permille / 1_000;
        self.delays_ms.get(index).copied().unwrap_or_default()
    }
}

impl std::fmt::Display for StartDelays {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} starts, min {} ms, median {} ms, p90 {} ms, max {} ms",
            self.delays_ms.len(),
            self.quantile(0),
            self.quantile(500),
            self.quantile(900),
            self.quantile(1_000),
        )
    }
}
