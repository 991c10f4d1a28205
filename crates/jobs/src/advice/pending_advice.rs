//! The pending request to the advisor.

use sapphirestile_core::MonoTime;

use crate::advice::AdviceRequest;

/// A request to the advisor that has no outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingAdvice {
    pub(crate) request: AdviceRequest,
    /// Start times of the workers' incarnations, in milliseconds of the Unix epoch and in
    /// the order of the request.
    pub(crate) starts_unix_ms: Vec<u64>,
    pub(crate) sent: MonoTime,
}
