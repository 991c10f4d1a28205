//! A question to the advisor.

use sapphirestile_core::WorkerName;

use crate::advice::StepAddress;

/// Ask which of some workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceOrder {
    /// The step.
    pub step: StepAddress,
    /// The workers.
    pub workers: Vec<WorkerName>,
    /// How long the answer is expected to take, in milliseconds.
    pub expected_ms: u64,
}
