//! How sessions were answered.

/// How many sessions a worker answered with all its attempts, and with what had
/// changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounts {
    /// With all attempts.
    pub all: u64,
    /// With what had changed.
    pub changes: u64,
}
