//! What a served worker holds.

use crate::worker::WorkerFaults;
use crate::worker::WorkerState;

/// What a served worker holds.
#[derive(Debug)]
pub(super) struct ServedWorker {
    pub(super) state: WorkerState,
    pub(super) faults: WorkerFaults,
}
