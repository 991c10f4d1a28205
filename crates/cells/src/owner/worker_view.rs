//! An owner's view of a worker.

use crate::owner::WholeReport;
use crate::owner::WorkerFacts;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::TaskName;

const MISSES_COUNTED: u32 = 4;

/// What the owner knows of a worker; none of it lasts.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// What is known from outside.
    pub facts: WorkerFacts,
    /// Whether the latest list shows it. One that is not listed is given nothing:
    /// its facts may be older than the configuration.
    pub listed: bool,
    /// Which of the owner's sessions was asked for last.
    pub ordinal: u64,
    /// Whether a session was asked for and has not been answered.
    pub asking: bool,
    /// When the latest session was asked for.
    pub asked: Option<MonoTime>,
    /// The permit, from the report until the next session is asked for.
    pub permit: Option<u64>,
    /// How many sessions in a row were not answered.
    pub misses: u32,
    /// How many starts are on their way, from their proposal to their answer.
    pub starts: u32,
    /// Ended attempts that the worker may forget.
    pub settled: Vec<(TaskName, AttemptNumber)>,
    /// The worker's latest whole report.
    pub whole: WholeReport,
}

impl WorkerView {
    /// A worker of which nothing but the facts is known.
    #[must_use]
    pub fn new(facts: WorkerFacts) -> Self {
        Self {
            facts,
            listed: true,
            ordinal: 0,
            asking: false,
            asked: None,
            permit: None,
            misses: 0,
            starts: 0,
            settled: Vec::new(),
            whole: WholeReport::default(),
        }
    }

    /// Whether the session `ordinal` was asked for last and is not answered.
    #[must_use]
    pub const fn awaits(&self, ordinal: u64) -> bool {
        self.asking && self.ordinal == ordinal
    }

    /// Whether `now` is time to renew the session.
    ///
    /// A silent worker is asked less and less often, so that many of them, as of a
    /// zone that is cut off, do not hold up the sessions of all others.
    ///
    /// A renewal voids the permit of starts that are on their way, so it waits for
    /// them, but no longer than their permit is good for.
    #[must_use]
    pub fn session_due(&self, now: MonoTime, interval_ms: u64, permit_ms: u64) -> bool {
        let wait_ms = if self.starts == 0 {
            interval_ms << self.misses.min(MISSES_COUNTED)
        } else {
            permit_ms
        };
        let rested = self
            .asked
            .is_none_or(|asked| now.millis_since(asked) >= wait_ms);
        rested && !self.asking
    }

    /// The permit, while it is fresh enough to commit against.
    #[must_use]
    pub fn usable_permit(&self, now: MonoTime, fresh_ms: u64) -> Option<u64> {
        let fresh = self
            .asked
            .is_some_and(|asked| now.millis_since(asked) <= fresh_ms);
        if fresh && !self.asking {
            self.permit
        } else {
            None
        }
    }
}
