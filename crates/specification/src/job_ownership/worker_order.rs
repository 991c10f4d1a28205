//! Orders of an owner to a worker.

/// An order of an owner to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkerOrder {
    /// Start a run.
    Start {
        /// Number of the run.
        run: u8,
        /// End of its lease, on the worker's clock.
        lease_end: u8,
    },
    /// End a run, and never start it if it has not started.
    Stop {
        /// Number of the run.
        run: u8,
    },
    /// Respond with the run in progress and the ended runs.
    Poll {
        /// New end of the leases, on the worker's clock; `None` to leave them unchanged.
        lease_end: Option<u8>,
        /// Ends up to this number are stored, so the worker may remove them.
        acknowledged_end: u8,
    },
}
