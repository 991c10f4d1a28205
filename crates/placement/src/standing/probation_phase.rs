//! A worker that is tried with one task at a time.

/// The worker takes one task at a time until one succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbationPhase {
    /// How long it was set aside last, in milliseconds.
    pub term_ms: u64,
}
