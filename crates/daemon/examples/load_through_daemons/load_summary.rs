//! Throughput and latencies of a load.

use std::time::Duration;

use crate::call_outcome::CallOutcome;
use crate::call_record::CallRecord;
use sapphirestile_core::SortedTable;

/// Throughput, latency quantiles and failures of a load.
pub struct LoadSummary {
    callers: usize,
    answered_us: Vec<u128>,
    failures: SortedTable<String, u64>,
    run_time: Duration,
    cpu_time_ms: u64,
}

impl LoadSummary {
    /// Summarizes the requests of `callers`, for which the daemons used `cpu_time_ms` of CPU time;
    /// 0 when that is not measured.
    pub fn new(callers: usize, records: &[CallRecord], cpu_time_ms: u64) -> Self {
        let mut failures = SortedTable::new();
        let mut answered_us = Vec::new();
        for record in records {
            match &record.outcome {
                CallOutcome::Answered => answered_us.push(record.duration.as_micros()),
                CallOutcome::NotRun(reason) | CallOutcome::Unknown(reason) => {
                    *failures.get_or_insert_with(reason.clone(), || 0) += 1;
                }
            }
        }
        answered_us.sort_unstable();
        let end_times = records.iter().map(|record| record.ended);
        Self {
            callers,
            answered_us,
            failures,
            run_time: end_times.max().unwrap_or_default(),
            cpu_time_ms,
        }
    }

    fn quantile(&self, permille: usize) -> u128 {
        let last = self.answered_us.len().saturating_sub(1);
        let index = last * permille / 1_000;
        self.answered_us.get(index).copied().unwrap_or_default()
    }
}

impl std::fmt::Display for LoadSummary {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let answered = self.answered_us.len();
        let cpu_time_us = self.cpu_time_ms * 1_000;
        write!(
            formatter,
            "{} callers, {} requests/s, p50 {} us, p99 {} us, p99.9 {} us, {} us of CPU time per request",
            self.callers,
            answered as u128 * 1_000 / self.run_time.as_millis().max(1),
            self.quantile(500),
            self.quantile(990),
            self.quantile(999),
            cpu_time_us / (answered as u64).max(1),
        )?;
        for (reason, count) in self.failures.iter() {
            write!(formatter, "; {count} x {reason}")?;
        }
        Ok(())
    }
}
