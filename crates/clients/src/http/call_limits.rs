//! How long and how large a call may be.

use std::time::Duration;

/// Bounds of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// The longest time from the call to the end of its answer; connecting may
    /// take half of it.
    pub timeout: Duration,
    /// The largest body of an answer, in bytes.
    pub answer_max_bytes: usize,
}
