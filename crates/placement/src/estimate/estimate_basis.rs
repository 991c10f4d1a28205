//! The evidence behind a size estimate.

/// The observations that an estimate is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EstimateBasis {
    /// The declared size, as there are too few observations.
    Declared,
    /// Usage of the customer's tasks.
    Customer,
    /// Usage of the job's tasks.
    Job,
    /// A task of the job was stopped for exceeding its memory, or failed with less
    /// memory than declared.
    OutOfMemory,
}

impl std::fmt::Display for EstimateBasis {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Declared => "as declared",
            Self::Customer => "from usage of the customer's tasks",
            Self::Job => "from usage of the job's tasks",
            Self::OutOfMemory => "raised because a task of the job ran short of memory",
        })
    }
}
