//! What a worker said to an order.

/// What a worker said to a start or a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderAnswer {
    /// It was carried out.
    Accepted,
    /// It was not, and never will be.
    Refused,
    /// The worker has seen a later epoch.
    Fenced,
}
