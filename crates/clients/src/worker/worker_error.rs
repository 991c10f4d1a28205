//! Why a call to a worker was not done.

use sapphirestile_wire::worker::WorkerRefusal;

/// A call that was not done, or not known to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker refused: nothing was done.
    Refused(WorkerRefusal),
    /// The request did not reach the worker: nothing was done.
    NotSent,
    /// The call may have taken effect.
    Unknown,
}

impl std::fmt::Display for WorkerError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(refusal) => write!(formatter, "the worker refused: {refusal:?}"),
            Self::NotSent => formatter.write_str("the request did not reach the worker"),
            Self::Unknown => formatter.write_str("the worker's answer was lost"),
        }
    }
}

impl std::error::Error for WorkerError {}
