//! The numbers of threads that call workers.

/// Numbers of threads in a [`crate::cells::CallPool`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSizes {
    /// Number of threads for calls to [`crate::cells::WorkerReach::Reachable`] workers.
    pub reachable: usize,
    /// Number of threads for calls to [`crate::cells::WorkerReach::Silent`] workers.
    pub silent: usize,
}
