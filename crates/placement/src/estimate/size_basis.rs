//! What an estimate rests on.

/// What an estimate rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeBasis {
    /// Too little was seen: the declared size.
    Declared,
    /// Other tasks of the customer.
    Customer,
    /// Other tasks of the job.
    Job,
    /// A task of the job outgrew what it was given.
    Outgrown,
}

impl std::fmt::Display for SizeBasis {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Declared => "as declared",
            Self::Customer => "from what the customer's tasks used",
            Self::Job => "from what the job's tasks used",
            Self::Outgrown => "raised because a task of the job outgrew its size",
        })
    }
}
