//! A worker.

use crate::cell_ownership::task_slot::TaskSlot;

/// A worker and what the VM list says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerState {
    /// Whether its VM is there.
    pub alive: bool,
    /// Whether the VM list says that it is gone.
    pub listed_gone: bool,
    /// The highest epoch of a session.
    pub epoch: u8,
    /// The latest permit given; never given again, not even after a restart.
    pub permit: u8,
    /// Whether that permit is good.
    pub permit_good: bool,
    /// The task.
    pub slot: TaskSlot,
}

impl WorkerState {
    /// A worker that has seen no session.
    pub(crate) const fn new() -> Self {
        Self {
            alive: true,
            listed_gone: false,
            epoch: 0,
            permit: 0,
            permit_good: false,
            slot: TaskSlot::Empty,
        }
    }
}
