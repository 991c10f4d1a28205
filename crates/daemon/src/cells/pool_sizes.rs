//! How many threads call workers.

/// How many threads call workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSizes {
    /// Threads for workers that answer.
    pub reachable: usize,
    /// Threads for workers that were silent.
    pub silent: usize,
}
