//! What happened to a task.

/// What happened to a task in the last second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskEvent {
    /// It did all its work.
    Finished { task: usize },
    /// It ended with an error.
    Failed { task: usize },
    /// The worker's guard stopped it since it outgrew its memory.
    Outgrown { task: usize },
    /// Its checkpoint has left the zone.
    Saved { task: usize },
    /// Its worker is gone.
    Lost { task: usize },
}
