//! A call that was not answered with a result.

use serde::Deserialize;
use serde::Serialize;

/// Status 400, 401, 404, 413 or 503 when nothing was done, and 504 when the outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRefusal {
    /// True when nothing was done; false when the outcome is unknown.
    pub not_run: bool,
    /// Why.
    pub reason: String,
}
