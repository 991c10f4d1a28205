//! Normal operation of a worker.

/// The worker takes tasks without restriction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthyPhase;
