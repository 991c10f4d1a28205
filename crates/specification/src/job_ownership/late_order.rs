//! An order that its sender gave up.

use crate::job_ownership::worker_order::WorkerOrder;

/// An order that its sender gave up, and that may still be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LateOrder {
    pub(crate) worker: u8,
    pub(crate) epoch: u8,
    pub(crate) order: WorkerOrder,
}
