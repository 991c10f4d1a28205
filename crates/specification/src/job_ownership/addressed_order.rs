//! An order with its receiver and epoch.

use crate::job_ownership::worker_process::WorkerProcess;

use crate::job_ownership::worker_order::WorkerOrder;

/// An order as a worker receives it, perhaps after its sender gave up waiting: with the
/// worker and the sender's epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AddressedOrder {
    pub(crate) worker: u8,
    /// The process that had answered on the connection, as far as the sender knew.
    pub(crate) process: WorkerProcess,
    pub(crate) epoch: u8,
    pub(crate) order: WorkerOrder,
}
