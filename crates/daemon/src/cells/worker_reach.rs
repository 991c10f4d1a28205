//! Whether a worker answers.

/// Whether a worker answered the session asked for last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerReach {
    /// It did, or was not asked yet.
    Reachable,
    /// It did not.
    Silent,
}
