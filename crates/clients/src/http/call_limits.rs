//! Time and size limits of a call.

use std::time::Duration;

/// Limits of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// The maximum time until the end of the response; connecting may take half of it.
    pub timeout: Duration,
    /// The maximum size of the response body, in bytes.
    pub response_max_bytes: usize,
}
