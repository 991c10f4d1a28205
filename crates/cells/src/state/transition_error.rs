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
            Self::AlreadySubmitted => "the same job was already submitted",
            Self::Cancelled => "the job was already cancelled",
            Self::WrongPhase => "the task or job is not in the phase that this change requires",
            Self::OldAttempt => "the attempt is not the task's current one",
            Self::AlreadyRecorded => "the request was already recorded",
            Self::UnknownRequest => "the request is not recorded with this nonce",
            Self::QueueFull => "the cell has reached its limit of open tasks or request records",
            Self::TaskCount => "a job has from 1 to 10000 tasks",
            Self::CounterBehind => "the total of the share counter would not grow",
            Self::ShareOverdrawn => "more of the share would be returned than was lent",
        })
    }
}

impl std::error::Error for TransitionError {}
