//! Why an order was not taken.

/// What is wrong with an order or with a name in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// The identity is not sixteen hexadecimal digits.
    Identity,
    /// The text does not name a task.
    Address,
    /// The text that tasks are given is too long.
    Text,
    /// There is no step, or there are too many steps or tasks.
    Size,
    /// A step waits for itself or for one that is not before it.
    Dependency,
    /// Occurrences are closer together than a millisecond.
    Interval,
}

impl std::fmt::Display for OrderFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Identity => "a job is named by sixteen hexadecimal digits",
            Self::Address => "a task is named by its job, occurrence, step and number",
            Self::Text => "the text for the tasks has 4000 bytes at most",
            Self::Size => "a job has 1 to 64 steps and 1 to 10000 tasks",
            Self::Dependency => "a step waits only for steps before it",
            Self::Interval => "occurrences are a millisecond apart at least",
        })
    }
}

impl std::error::Error for OrderFault {}
