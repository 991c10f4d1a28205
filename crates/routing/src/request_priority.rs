//! The priority of a request.

/// The priority of a request, the most important first: it is served first and shed
/// last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// A person waits for the answer.
    Interactive,
    /// A request of the usual importance.
    Standard,
    /// Bulk work without urgency.
    Bulk,
}
