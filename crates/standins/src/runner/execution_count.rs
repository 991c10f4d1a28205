//! The number of runs of one request.

use serde::Deserialize;
use serde::Serialize;

/// How often requests with one `idempotency-key` were run. More than one run of a request
/// that is not idempotent is a fault of the caller or of the daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCount {
    /// The value of the `idempotency-key` header.
    pub key: String,
    /// How often requests with this key were run, whether or not the response was sent.
    pub runs: u64,
}
