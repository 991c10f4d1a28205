//! The task on one worker.

/// What a worker runs, or has ended and not yet forgotten.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskSlot {
    /// Nothing.
    #[default]
    Empty,
    /// The attempt runs.
    Running(u8),
    /// The attempt did all its work.
    Finished(u8),
    /// The attempt was stopped; its checkpoint stands.
    Stopped(u8),
}

impl TaskSlot {
    /// The running attempt.
    pub(crate) const fn running_attempt(self) -> Option<u8> {
        match self {
            Self::Running(attempt) => Some(attempt),
            Self::Empty | Self::Finished(_) | Self::Stopped(_) => None,
        }
    }

    /// The slot once ended attempts up to `settled` are forgotten.
    pub(crate) fn forget(self, settled: u8) -> Self {
        match self {
            Self::Finished(attempt) | Self::Stopped(attempt) if attempt <= settled => Self::Empty,
            other => other,
        }
    }
}
