//! The response to an operator call that failed.

use serde::Deserialize;
use serde::Serialize;

/// Body of a response with status 400, 401, 404, 405, 408, 413, 429 or 503 (nothing was
/// done) or 504 (the outcome is unknown).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRefusal {
    /// True when nothing was done; false when the outcome is unknown.
    pub not_run: bool,
    /// Why the call failed, for the operator to read.
    pub reason: String,
}
