//! Phase of the task.

/// Phase of the task by the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskPhase {
    /// No submission is in the journal.
    #[default]
    Absent,
    /// Submitted, and not assigned to a worker.
    Waiting,
    /// Assigned to a worker, where it may or may not run.
    Assigned,
    /// Finished; it must never run again.
    Finished,
}
