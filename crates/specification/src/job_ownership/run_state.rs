//! State of a run, as far as the owner knows.

/// State of a run on a worker, as far as the owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunState {
    /// The assignment is not known to be stored, and no start order was sent.
    Planned,
    /// The start order was sent, and its outcome is not known.
    Starting,
    /// A poll showed the run, or its start order was accepted.
    Running,
    /// An earlier owner assigned the run, so it may be running.
    Inherited,
    /// The run is to be stopped, and the worker has not accepted a stop order.
    StopPending,
    /// The worker has accepted a stop order.
    Stopping,
}
