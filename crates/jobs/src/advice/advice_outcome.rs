//! Outcome of a request to the advisor.

use sapphirestile_core::WorkerName;

/// Outcome of a request to the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceOutcome {
    /// The advisor answered.
    Answered {
        /// Workers that may run the step, each with its ticket. The other workers of
        /// the request may never run it.
        allowed: Vec<(WorkerName, Box<str>)>,
        /// Validity of the tickets, in milliseconds.
        validity_ms: u64,
    },
    /// The advisor rejected the request because too many others are queued.
    Busy,
    /// There was no answer, or it could not be parsed.
    Unknown,
}
