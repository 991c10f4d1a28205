//! How long urgent jobs waited.

/// How long urgent jobs waited for their start, in milliseconds, in order.
pub struct StartWaits {
    waits_ms: Vec<u64>,
}

impl FromIterator<u64> for StartWaits {
    fn from_iter<I: IntoIterator<Item = u64>>(waits_ms: I) -> Self {
        let mut waits_ms: Vec<u64> = waits_ms.into_iter().collect();
        waits_ms.sort_unstable();
        Self { waits_ms }
    }
}

impl StartWaits {
    fn quantile(&self, permille: usize) -> u64 {
        let last = self.waits_ms.len().saturating_sub(1);
        let place = last * permille / 1_000;
        self.waits_ms.get(place).copied().unwrap_or_default()
    }
}

impl std::fmt::Display for StartWaits {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} starts, least {} ms, median {} ms, nine of ten {} ms, longest {} ms",
            self.waits_ms.len(),
            self.quantile(0),
            self.quantile(500),
            self.quantile(900),
            self.quantile(1_000),
        )
    }
}
