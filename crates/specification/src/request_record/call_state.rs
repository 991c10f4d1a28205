//! State of a call to the runner.

/// State of an attempt's call to the runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallState {
    /// No byte was sent.
    #[default]
    Unsent,
    /// The request is on its way to the runner.
    InFlight,
    /// The runner has run the request, and its answer is on its way.
    Executed,
    /// The request was lost, or the answer has arrived.
    Closed,
}
