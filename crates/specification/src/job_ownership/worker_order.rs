//! What an owner sends to a worker.

/// What an owner sends to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkerOrder {
    /// Begin a run.
    Start {
        /// The run.
        run: u8,
        /// When its lease ends.
        lease_end: u8,
    },
    /// End a run, and never begin it.
    Stop {
        /// The run.
        run: u8,
    },
    /// Show all runs and ends.
    Look {
        /// Until when leases are extended, if they are.
        lease_end: Option<u8>,
        /// Ends up to this number may be forgotten.
        ends_stored: u8,
    },
}
