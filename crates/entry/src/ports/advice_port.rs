//! Port to the advisor.

use sapphirestile_jobs::AdviceOutcome;
use sapphirestile_jobs::AdviceRequest;

/// Sends requests to the advisor. Each call blocks until its answer or its timeout, and
/// is not retried.
pub trait AdvicePort: Send + Sync + 'static {
    /// Asks which of the given workers may run a step.
    fn advise(&self, request: &AdviceRequest) -> AdviceOutcome;
}
