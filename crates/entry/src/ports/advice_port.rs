//! The advisor.

use sapphirestile_jobs::AdviceOutcome;
use sapphirestile_jobs::AdviceRequest;

/// Asks the advisor. A call waits for its answer or its timeout, and is not repeated.
pub trait AdvicePort: Send + Sync + 'static {
    /// Asks which of some workers may run a step.
    fn advise(&self, order: &AdviceRequest) -> AdviceOutcome;
}
