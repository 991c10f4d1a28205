//! Record of a request.

use std::time::Duration;

use crate::call_outcome::CallOutcome;

/// One request of a caller with its timing.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Time from the start of the load to the end of the request.
    pub ended: Duration,
    /// Time from sending the request to its end.
    pub duration: Duration,
    /// What the caller learned of the request.
    pub outcome: CallOutcome,
}
