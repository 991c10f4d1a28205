//! A request that is retried after an unknown outcome.

use crate::PendingRelease;
use crate::ReceivedPhase;
use crate::RequestCycle;

/// An idempotent request that is retried after an unknown outcome, and the slot of the
/// previous attempt.
#[derive(Debug)]
pub struct RetriedRequest {
    /// The request, which holds no slot until it is admitted again.
    pub cycle: RequestCycle<ReceivedPhase>,
    /// The slot of the previous attempt, which the runner may still be using.
    pub slot: PendingRelease,
}
