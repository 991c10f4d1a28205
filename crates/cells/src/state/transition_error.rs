//! Reasons why a transition is rejected.

/// Why a transition cannot be applied; the state stays unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransitionError {
    /// The cell has no job of this name.
    UnknownJob,
    /// The cell has no task of this name.
    UnknownTask,
    /// A job with another specification has this name.
    NameTaken,
    /// The same job was already submitted.
    AlreadySubmitted,
    /// The job was already cancelled.
    Cancelled,
    /// The task, or the job, is not in the phase that the transition requires.
    WrongPhase,
    /// The attempt is not the task's current one.
    OldAttempt,
    /// The request was already recorded.
    AlreadyRecorded,
    /// No such record: none of this key, or the nonce differs.
    UnknownRequest,
    /// The cell has reached its limit of open tasks or of request records.
    QueueFull,
    /// The job's number of tasks is 0 or above [`crate::TASKS_MAX`].
    TaskCount,
    /// The new total of a share counter is not above the known one.
    CounterBehind,
    /// The total returned would exceed the total lent.
    ShareOverdrawn,
}

impl std::fmt::Display for TransitionError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::UnknownJob => "no such job",
            Self::UnknownTask => "no such task",
            Self::NameTaken => "a different job has this name",
            Self::AlreadySubmitted => "the same job was submitted before",
            Self::Cancelled => "the job was cancelled",
            Self::WrongPhase => "the task is in another phase",
            Self::OldAttempt => "the attempt is not the current one",
            Self::AlreadyRecorded => "the request was recorded before",
            Self::UnknownRequest => "the request is not recorded by this daemon",
            Self::QueueFull => "the cell keeps as much as it can",
            Self::TaskCount => "a job has from 1 to 10000 tasks",
            Self::CounterBehind => "the counter of shares is as far already",
            Self::ShareOverdrawn => "more would be returned than was lent",
        })
    }
}

impl std::error::Error for TransitionError {}
