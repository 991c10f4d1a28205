//! What came of a question to the advisor.

use sapphirestile_core::WorkerName;

/// What came of a question to the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceOutcome {
    /// It answered.
    Given {
        /// The workers that may run the step, each with its ticket; the others that
        /// were named never may.
        good: Vec<(WorkerName, Box<str>)>,
        /// How long the tickets hold, in milliseconds.
        validity_ms: u64,
    },
    /// It has too many questions before this one.
    Busy,
    /// There was no answer, or none that can be read.
    Unknown,
}
