//! The owner's view of a run.

use crate::job_ownership::run_state::RunState;

/// A run that may be running, as far as the owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TrackedRun {
    /// Number of its worker.
    pub worker: u8,
    /// Number of the run.
    pub run: u8,
    /// State of the run, as far as the owner knows.
    pub state: RunState,
}
