//! Errors in job specifications and identities.

/// Error in a job specification, or in the text of a job or task identity. The texts
/// of errors in a specification are sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobSpecError {
    /// The job identity is not sixteen hexadecimal digits.
    Identity,
    /// The text is not a task identity.
    Task,
    /// The task text is too long.
    Text,
    /// There is no step or an empty one, or there are too many steps or tasks.
    Size,
    /// An amount or a duration of a step is too large.
    Amount,
    /// A step depends on itself or on a later step.
    Dependency,
    /// The interval between repeated occurrences is 0.
    Interval,
}

impl std::fmt::Display for JobSpecError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Identity => "job identity must be 16 hexadecimal digits",
            Self::Task => "task identity must have the form JOB.OCCURRENCE.STEP.INDEX",
            Self::Text => "the text for the tasks has 4000 bytes at most",
            Self::Size => "a job has 1 to 64 steps and 1 to 10000 tasks",
            Self::Amount => "amounts and durations of a step are 2^40 at most",
            Self::Dependency => "a step waits only for steps before it",
            Self::Interval => "occurrences are a millisecond apart at least",
        })
    }
}

impl std::error::Error for JobSpecError {}
