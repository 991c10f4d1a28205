//! One request of a caller.

use std::time::Duration;

use crate::call_outcome::CallOutcome;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// When it ended, since the load began.
    pub ended: Duration,
    /// How long it took.
    pub took: Duration,
    /// What became of it.
    pub outcome: CallOutcome,
}
