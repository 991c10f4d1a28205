//! What a fault cost.

use std::time::Duration;

use crate::call_outcome::CallOutcome;
use crate::call_record::CallRecord;
use crate::load_summary::LoadSummary;

/// What a fault cost the callers.
pub struct FaultSummary {
    answered: usize,
    not_run: usize,
    unknown: usize,
    last_failed_after: Option<Duration>,
    slowest_after: Duration,
    whole: LoadSummary,
}

impl FaultSummary {
    /// Sums up the requests of `callers` with a fault after `fault`.
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
            slowest_after: after().map(|record| record.took).max().unwrap_or_default(),
            whole: LoadSummary::new(callers, records, 0),
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
            self.whole
        )
    }
}
