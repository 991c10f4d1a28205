//! Why a transition was refused.

/// A change that does not fit the state; the state stays as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransitionFault {
    /// No such job.
    UnknownJob,
    /// No such task.
    UnknownTask,
    /// A different job has this name.
    NameTaken,
    /// The same job was submitted before.
    AlreadySubmitted,
    /// The job was cancelled.
    Cancelled,
    /// The task is not in the phase that the change starts from.
    WrongPhase,
    /// The attempt is not the task's current one.
    OldAttempt,
    /// The request was recorded before.
    AlreadyRecorded,
    /// The request is not recorded, or by another daemon.
    UnknownRequest,
    /// The cell has as many open tasks, or records of requests, as it can keep.
    QueueFull,
    /// A job has no tasks, or too many.
    TaskCount,
    /// A counter of shares would not grow.
    CounterBehind,
    /// More shares would be returned than were lent.
    ShareOverdrawn,
}

impl std::fmt::Display for TransitionFault {
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

impl std::error::Error for TransitionFault {}
