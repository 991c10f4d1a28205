//! Outcome of a stop request.

/// Outcome of a request to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run is being stopped; if it has not started, it never will.
    Accepted,
    /// The worker has seen an owner with a higher epoch.
    Fenced,
    /// There was no usable response.
    Unknown,
}
