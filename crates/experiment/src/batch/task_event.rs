//! State changes of a task that the scheduler must handle.

/// A state change of a task in the last second; `task` is its index in the list of
/// all tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskEvent {
    /// It has done all its work.
    Finished { task: usize },
    /// It ended with an error.
    Failed { task: usize },
    /// Its worker stopped it because it used more memory than was allocated.
    OutOfMemory { task: usize },
    /// Its checkpoint has been sent out of the zone; it can be stopped and moved.
    CheckpointSent { task: usize },
    /// Its worker was shut down with the zone.
    WorkerLost { task: usize },
}
