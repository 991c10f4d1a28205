//! Probation of a worker after its quarantine.

/// The worker takes one task at a time until one succeeds or fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbationPhase {
    /// The length of the preceding quarantine, in milliseconds.
    pub quarantine_ms: u64,
}
