//! Errors in job specifications and identities.

/// Error in a job specification, or in the text of a job or task identity.
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
            Self::Text => "task text must not exceed 4000 bytes",
            Self::Size => "job must have 1 to 64 steps, at least 1 task in each, and at most 10000 tasks in total",
            Self::Dependency => "step must depend only on earlier steps",
            Self::Interval => "interval between occurrences must be at least 1 ms",
        })
    }
}

impl std::error::Error for JobSpecError {}
