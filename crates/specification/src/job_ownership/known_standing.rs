//! What an owner knows of a run.

/// What an owner knows of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KnownStanding {
    /// Its assignment is not known to be stored.
    Planned,
    /// Its start is on its way.
    Starting,
    /// It was seen, or its start was accepted.
    Running,
    /// An earlier owner assigned it.
    Inherited,
    /// It is to end, and the worker has not agreed.
    Unstopped,
    /// The worker has agreed to its end.
    Stopping,
}
