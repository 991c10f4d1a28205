//! Workers beyond those that are kept for certain tasks.

/// Which tasks may still be the first of their kind on a worker, because more workers are free
/// of such tasks than are kept so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpareWorkers {
    /// Whether a latency-sensitive task may be placed on a worker without such runs, beyond
    /// the workers that are reserved for best-effort tasks.
    pub for_latency: bool,
    /// Whether a long-running task that has not run before may be placed on a worker without
    /// long-running runs, beyond the workers that are reserved for restarts.
    pub for_first_runs: bool,
}

impl Default for SpareWorkers {
    fn default() -> Self {
        Self {
            for_latency: true,
            for_first_runs: true,
        }
    }
}
