//! Workers as tracked by a cell's owner.

use crate::owner::FullReport;
use crate::owner::WorkerFacts;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::TaskName;

/// The interval between sessions doubles with each missed answer, at most this often.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;

/// What the owner knows about a worker. Not durable.
#[derive(Clone, Debug)]
pub struct CellWorker {
    /// The worker's description from the VM list and the document.
    pub facts: WorkerFacts,
    /// Whether the latest VM list has it. A worker that is not listed gets no tasks, because
    /// its facts may be older than the configuration.
    pub listed: bool,
    /// Ordinal of the session requested last.
    pub ordinal: u64,
    /// Whether that session has not been answered or lost yet.
    pub awaiting_answer: bool,
    /// When that session was requested; `None` before the first.
    pub asked: Option<MonoTime>,
    /// The permit for starts; set by a report, cleared when the next session is requested.
    pub permit: Option<u64>,
    /// Number of sessions without an answer in a row.
    pub misses: u32,
    /// Number of starts from their proposal until they are answered or lost.
    pub starts: u32,
    /// Ended attempts that the worker may forget.
    pub settled: Vec<(TaskName, AttemptNumber)>,
    /// The worker's latest full report.
    pub full_report: FullReport,
}

impl CellWorker {
    /// A worker of which only the facts are known.
    #[must_use]
    pub fn new(facts: WorkerFacts) -> Self {
        Self {
            facts,
            listed: true,
            ordinal: 0,
            awaiting_answer: false,
            asked: None,
            permit: None,
            misses: 0,
            starts: 0,
            settled: Vec::new(),
            full_report: FullReport::default(),
        }
    }

    /// Whether `ordinal` is the session requested last and has no answer yet.
    #[must_use]
    pub const fn awaits(&self, ordinal: u64) -> bool {
        self.awaiting_answer && self.ordinal == ordinal
    }

    /// Whether the session is due for renewal at `now`.
    ///
    /// A worker that does not answer is asked at growing intervals, so that many such
    /// workers, for example of an unreachable zone, do not delay the sessions of others.
    ///
    /// A renewal invalidates the permit of starts that are in flight, so it waits for
    /// them, but no longer than their permit is valid.
    #[must_use]
    pub fn session_due(&self, now: MonoTime, interval_ms: u64, permit_ms: u64) -> bool {
        let wait_ms = if self.starts == 0 {
            interval_ms << self.misses.min(BACKOFF_DOUBLINGS_MAX)
        } else {
            permit_ms
        };
        let interval_elapsed = self
            .asked
            .is_none_or(|asked| now.millis_since(asked) >= wait_ms);
        interval_elapsed && !self.awaiting_answer
    }

    /// The permit, if it was given at most `fresh_ms` ago and no session is in flight.
    #[must_use]
    pub fn usable_permit(&self, now: MonoTime, fresh_ms: u64) -> Option<u64> {
        let fresh = self
            .asked
            .is_some_and(|asked| now.millis_since(asked) <= fresh_ms);
        if fresh && !self.awaiting_answer {
            self.permit
        } else {
            None
        }
    }
}
