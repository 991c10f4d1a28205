//! What a failure speaks against.

/// What the failures seen so far speak against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureVerdict {
    /// Nothing yet: the task is tried again after a delay, in milliseconds.
    Retry {
        /// How long to wait.
        delay_ms: u64,
    },
    /// The worker fails different jobs: set it aside; the task is tried at once.
    BadWorker,
    /// The job fails on different workers: it is given up.
    BadJob {
        /// On how many workers it failed.
        workers: usize,
    },
}

impl std::fmt::Display for FailureVerdict {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Retry { delay_ms } => write!(formatter, "tried again after {delay_ms} ms"),
            Self::BadWorker => formatter.write_str("the worker fails different jobs"),
            Self::BadJob { workers } => {
                write!(formatter, "given up: the job failed on {workers} workers")
            }
        }
    }
}
