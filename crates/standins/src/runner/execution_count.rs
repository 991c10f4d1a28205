//! How often a request was run.

use serde::Deserialize;
use serde::Serialize;

/// How often the requests with one `idempotency-key` were run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCount {
    /// The key.
    pub key: String,
    /// How often it was run.
    pub runs: u64,
}
