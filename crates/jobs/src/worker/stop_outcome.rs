//! Outcome of a stop request.

use crate::worker::WorkerIncarnation;

/// Outcome of a request to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// This incarnation of the worker stops the run; if it has not started there, it never
    /// will. The next incarnation does not know of the request.
    Accepted(WorkerIncarnation),
    /// The worker has seen an owner with a higher epoch.
    Fenced,
    /// There was no usable response.
    Unknown,
}
