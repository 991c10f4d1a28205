//! Outcome of a start request.

/// Outcome of a request to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker runs the task.
    Accepted,
    /// The worker has no free capacity; nothing started.
    NoRoom,
    /// The worker cannot start it now; nothing started.
    Unhealthy,
    /// The run has already ended, or the request arrived after its lease; nothing started.
    TooLate,
    /// The worker rejected the advisor's ticket; nothing started.
    NoTicket,
    /// The worker rejected the request as invalid; nothing started.
    Refused,
    /// The worker has seen an owner with a higher epoch; nothing started.
    Fenced,
    /// The request did not reach the incarnation that it was meant for; nothing started.
    Unsent,
    /// There was no response: the run may start now, later or never.
    Unknown,
}
