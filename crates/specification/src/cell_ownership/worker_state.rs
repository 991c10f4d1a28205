//! State of a worker.

use crate::cell_ownership::worker_task::WorkerTask;

/// State of a worker and its entry in the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerState {
    /// Whether its VM exists.
    pub alive: bool,
    /// Whether the VM list shows that it is gone.
    pub listed_gone: bool,
    /// Highest epoch of its sessions; messages with a lower one are rejected. 0 after a
    /// restart.
    pub epoch: u8,
    /// Latest permit that it granted. It never grants a permit twice, not even after a
    /// restart.
    pub permit: u8,
    /// Whether that permit is valid; false after a restart until the next renewal.
    pub permit_valid: bool,
    /// The task on this worker.
    pub task: WorkerTask,
}

impl WorkerState {
    /// A worker that has had no session.
    pub(crate) const fn new() -> Self {
        Self {
            alive: true,
            listed_gone: false,
            epoch: 0,
            permit: 0,
            permit_valid: false,
            task: WorkerTask::Empty,
        }
    }
}
