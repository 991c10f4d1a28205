//! The conclusion from task failures.

/// The conclusion from the failures recorded so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureVerdict {
    /// Neither is faulty so far: the task is retried after a delay.
    Retry {
        /// The delay before the retry, in milliseconds.
        delay_ms: u64,
    },
    /// Different jobs fail on the worker: it is quarantined, and the task is retried
    /// without delay.
    BadWorker,
    /// The job fails on different workers: it fails for good.
    BadJob {
        /// The number of workers that it failed on.
        workers: usize,
    },
}

impl std::fmt::Display for FailureVerdict {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Retry { delay_ms } => write!(formatter, "retried after {delay_ms} ms"),
            Self::BadWorker => formatter.write_str("worker quarantined: different jobs fail on it"),
            Self::BadJob { workers } => {
                write!(
                    formatter,
                    "not retried: the job failed on {workers} workers"
                )
            }
        }
    }
}
