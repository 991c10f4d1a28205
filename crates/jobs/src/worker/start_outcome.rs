//! What came of a start.

/// What came of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker runs it.
    Accepted,
    /// The worker has no room; nothing started.
    NoRoom,
    /// The worker cannot start it now; nothing started.
    Unhealthy,
    /// The run is over already, or came after its lease; nothing started.
    TooLate,
    /// The worker does not take the advisor's ticket; nothing started.
    NoTicket,
    /// The worker does not understand the order; nothing started.
    Refused,
    /// Another owner with a higher epoch was there; nothing started.
    Fenced,
    /// The order did not reach the worker; nothing started.
    Unsent,
    /// There was no answer: it may start now, later or never.
    Unknown,
}
