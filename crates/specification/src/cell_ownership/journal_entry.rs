//! Entries of the journal.

/// An entry of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JournalEntry {
    /// The writer owns the cell from this entry on, with its sequence number as the epoch.
    Claim,
    /// The task was submitted.
    Submit,
    /// No effect: takes a sequence number, so that an earlier write in flight can never be
    /// applied at that number.
    Noop,
    /// The next attempt is assigned to a worker.
    Assign {
        /// Number of the worker.
        worker: u8,
        /// The permit that the start message will carry.
        permit: u8,
    },
    /// An attempt has ended without finishing the task.
    Release {
        /// Number of the attempt.
        attempt: u8,
    },
    /// An attempt has finished the task.
    Finish {
        /// Number of the attempt.
        attempt: u8,
    },
    /// A snapshot of the journal; the entries before it are deleted.
    Snapshot,
}
