//! The attributes of a request that are known when it is received.

use sapphirestile_core::MonoTime;
use sapphirestile_core::RequestKey;

/// The attributes of a request that are known when it is received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestAttributes {
    /// Whether the request is idempotent and may be run more than once.
    pub idempotent: bool,
    /// The caller's key; required if the request is not idempotent.
    pub key: Option<RequestKey>,
    /// The time at which the caller stops waiting for an answer.
    pub deadline: MonoTime,
}
