//! The state of a worker service behind its lock.

use crate::worker::WorkerFaults;
use crate::worker::WorkerState;

/// The state of a [`WorkerService`](crate::worker::WorkerService) behind its lock.
#[derive(Debug)]
pub(super) struct WorkerInner {
    pub(super) state: WorkerState,
    pub(super) faults: WorkerFaults,
}
