//! Process behind a worker's address.

/// The process that answers at the address of a worker. Orders name the worker that they are
/// meant for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkerProcess {
    /// The first incarnation of the worker.
    #[default]
    First,
    /// Another worker, after the first incarnation died. It rejects all orders.
    Stranger,
    /// A new incarnation of the worker, which knows nothing of the first one.
    Successor,
}

impl WorkerProcess {
    /// The process that replaces this one. `restarts` says whether a worker that dies is
    /// followed by its next incarnation at once.
    pub(crate) const fn next(self, restarts: bool) -> Self {
        match self {
            Self::First if !restarts => Self::Stranger,
            Self::First | Self::Stranger | Self::Successor => Self::Successor,
        }
    }
}
