//! A request to the advisor.

use sapphirestile_core::WorkerName;

use crate::advice::StepIdentity;

/// Asks the advisor which of some workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Step whose tasks are to be placed.
    pub step: StepIdentity,
    /// Workers to ask about, the preferred ones first.
    pub workers: Vec<WorkerName>,
    /// Expected time until the answer, in milliseconds.
    pub expected_ms: u64,
}
