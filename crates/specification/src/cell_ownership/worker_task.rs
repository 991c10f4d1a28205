//! The task on a worker.

/// The attempt that a worker runs, or that has ended there and is still remembered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkerTask {
    /// No attempt.
    #[default]
    Empty,
    /// The attempt with this number runs.
    Running(u8),
    /// The attempt with this number has finished the task.
    Finished(u8),
    /// The attempt with this number was stopped with a checkpoint.
    Stopped(u8),
}

impl WorkerTask {
    /// Number of the running attempt, if one runs.
    pub(crate) const fn running_attempt(self) -> Option<u8> {
        match self {
            Self::Running(attempt) => Some(attempt),
            Self::Empty | Self::Finished(_) | Self::Stopped(_) => None,
        }
    }

    /// The result of forgetting ended attempts up to `settled`.
    pub(crate) fn forget(self, settled: u8) -> Self {
        match self {
            Self::Finished(attempt) | Self::Stopped(attempt) if attempt <= settled => Self::Empty,
            other => other,
        }
    }
}
