//! What an entry of the journal says.

/// One entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JournalEntry {
    /// The writer owns the cell from here on; the entry's number is the epoch.
    Claim,
    /// The task was submitted.
    Submit,
    /// Nothing; takes a number so that a former write can never land there.
    Fill,
    /// The next attempt is on a worker.
    Place {
        /// The worker.
        worker: u8,
        /// The permit that the start will quote.
        permit: u8,
    },
    /// An attempt is over and did not finish.
    Release {
        /// The attempt.
        attempt: u8,
    },
    /// An attempt finished the task.
    Finish {
        /// The attempt.
        attempt: u8,
    },
    /// A snapshot; the entries before it are deleted.
    Snapshot,
}
