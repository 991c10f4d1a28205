//! Errors of calls to a worker.

use sapphirestile_wire::worker::WorkerRefusal;

/// A failed call, classified by whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker refused the call; nothing was done.
    Refused(WorkerRefusal),
    /// The request did not reach the worker; nothing was done.
    NotSent,
    /// There is no usable response; the call may have taken effect.
    Unknown,
}

impl std::fmt::Display for WorkerError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(refusal) => write!(formatter, "the worker refused the call: {refusal:?}"),
            Self::NotSent => formatter.write_str("the request did not reach the worker"),
            Self::Unknown => {
                formatter.write_str("the worker's response was lost; the outcome is unknown")
            }
        }
    }
}

impl std::error::Error for WorkerError {}
