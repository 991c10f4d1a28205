//! Effect of a fault on callers.

use std::time::Duration;

use crate::call_outcome::CallOutcome;
use crate::call_record::CallRecord;
use crate::load_summary::LoadSummary;

/// Outcomes and latencies of the requests of a load with a fault.
pub struct FaultSummary {
    answered: usize,
    not_run: usize,
    unknown: usize,
    /// Time from the fault to the last failed request; `None` when none failed after it.
    last_failed_after: Option<Duration>,
    /// Longest duration of a request that ended after the fault.
    slowest_after: Duration,
    overall: LoadSummary,
}

impl FaultSummary {
    /// Summarizes the requests of `callers`. The fault was injected `fault` after the start of
    /// the load.
    pub fn new(callers: usize, records: &[CallRecord], fault: Duration) -> Self {
        let count = |wanted: fn(&CallOutcome) -> bool| {
            let found = records.iter().filter(|record| wanted(&record.outcome));
            found.count()
        };
        let after = || records.iter().filter(|record| record.ended >= fault);
        let failed = after().filter(|record| record.outcome != CallOutcome::Answered);
        Self {
            answered: count(|outcome| *outcome == CallOutcome::Answered),
            not_run: count(|outcome| matches!(outcome, CallOutcome::NotRun(_))),
            unknown: count(|outcome| matches!(outcome, CallOutcome::Unknown(_))),
            last_failed_after: failed
                .map(|record| record.ended.saturating_sub(fault))
                .max(),
            slowest_after: after()
                .map(|record| record.duration)
                .max()
                .unwrap_or_default(),
            overall: LoadSummary::new(callers, records, 0),
        }
    }
}

impl std::fmt::Display for FaultSummary {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} answered, {} not run, {} unknown, last failure {:?} after the fault, slowest after it {:?} ({})",
            self.answered,
            self.not_run,
            self.unknown,
            self.last_failed_after,
            self.slowest_after,
            self.overall
        )
    }
}
