//! Whether the task may run, and where.

/// Whether the task may run, and where.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AssignedPhase {
    /// Nowhere.
    #[default]
    Waiting,
    /// At one worker.
    Assigned(u8),
    /// It is done.
    Done,
}
