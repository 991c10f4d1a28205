//! The pending request to the advisor.

use sapphirestile_core::MonoTime;

use crate::advice::AdviceRequest;
use crate::worker::WorkerIncarnation;

/// A request to the advisor that has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingAdvice {
    pub(crate) request: AdviceRequest,
    /// Incarnations of the workers, in the order of the request.
    pub(crate) incarnations: Vec<WorkerIncarnation>,
    pub(crate) sent: MonoTime,
}
