//! What is known of a request when it is received.

use sapphirestile_core::MonoTime;
use sapphirestile_core::RequestKey;

/// What is known of a request when it is received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// The caller's key; needed for a request that is not idempotent.
    pub key: Option<RequestKey>,
    /// The time at which the caller stops waiting.
    pub deadline: MonoTime,
}
