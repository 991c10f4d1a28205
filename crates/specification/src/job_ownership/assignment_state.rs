//! State of the task's assignment.

/// Whether the task may run, and on which worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AssignmentState {
    /// Assigned to no worker; no run of it may be running.
    #[default]
    Waiting,
    /// Assigned to the worker with this number, where it may run.
    Assigned(u8),
    /// Done; it must never start again.
    Done,
}
