//! What a load came to.

use std::time::Duration;

use crate::call_outcome::CallOutcome;
use crate::call_record::CallRecord;
use sapphirestile_core::SortedTable;

/// What a load came to.
pub struct LoadSummary {
    callers: usize,
    answered_us: Vec<u128>,
    refusals: SortedTable<String, u64>,
    longest: Duration,
    processor_ms: u64,
}

impl LoadSummary {
    /// Sums up the requests of `callers`, for which daemons spent `processor_ms`.
    pub fn new(callers: usize, records: &[CallRecord], processor_ms: u64) -> Self {
        let mut refusals = SortedTable::new();
        let mut answered_us = Vec::new();
        for record in records {
            match &record.outcome {
                CallOutcome::Answered => answered_us.push(record.took.as_micros()),
                CallOutcome::NotRun(reason) | CallOutcome::Unknown(reason) => {
                    *refusals.get_or_insert_with(reason.clone(), || 0) += 1;
                }
            }
        }
        answered_us.sort_unstable();
        let ends = records.iter().map(|record| record.ended);
        Self {
            callers,
            answered_us,
            refusals,
            longest: ends.max().unwrap_or_default(),
            processor_ms,
        }
    }

    fn quantile(&self, permille: usize) -> u128 {
        let last = self.answered_us.len().saturating_sub(1);
        let place = last * permille / 1_000;
        self.answered_us.get(place).copied().unwrap_or_default()
    }
}

impl std::fmt::Display for LoadSummary {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let answered = self.answered_us.len();
        let processor_us = self.processor_ms * 1_000;
        write!(
            formatter,
            "{} callers, {} requests/s, p50 {} us, p99 {} us, p99.9 {} us, {} us of processors a request",
            self.callers,
            answered as u128 * 1_000 / self.longest.as_millis().max(1),
            self.quantile(500),
            self.quantile(990),
            self.quantile(999),
            processor_us / (answered as u64).max(1),
        )?;
        for (reason, count) in self.refusals.iter() {
            write!(formatter, "; {count} x {reason}")?;
        }
        Ok(())
    }
}
