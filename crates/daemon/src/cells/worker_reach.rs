//! Whether calls to a worker are expected to be answered.

/// Whether a worker responded to its last session request, which selects the threads for
/// calls to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerReach {
    /// The worker responded, or has not been called yet.
    Reachable,
    /// The worker did not respond.
    Silent,
}
