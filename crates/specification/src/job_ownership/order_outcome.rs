//! Outcome of an order.

/// Outcome of an order at the worker that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderOutcome {
    /// The order was carried out.
    Accepted,
    /// The order was not carried out and never will be.
    Refused,
    /// The worker has seen a higher epoch and rejected the order.
    Fenced,
    /// Another worker answered at the address and rejected the order.
    OtherIncarnation,
}
