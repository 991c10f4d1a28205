//! A running task that may be stopped for urgent work.

use sapphirestile_core::ResourceSize;

/// A running task, as the search for victims sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The place of its worker in the slice of rooms.
    pub worker: usize,
    /// What it was given.
    pub given: ResourceSize,
    /// Whether it is urgent itself; urgent tasks are never stopped.
    pub urgent: bool,
}
