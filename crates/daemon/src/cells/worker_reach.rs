//! Whether a worker responds.

/// Whether a worker responded to its last session request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerReach {
    /// The worker responded, or has not been called yet.
    Reachable,
    /// The worker did not respond.
    Silent,
}
