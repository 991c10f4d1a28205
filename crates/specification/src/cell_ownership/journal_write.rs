//! A commit to the journal.

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::process_id::ProcessId;

/// A commit on its way to the store: a compare-and-swap that writes one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JournalWrite {
    /// Sequence number of the entry; the store rejects the commit unless it is the next one.
    pub sequence: u8,
    /// Process that sent the commit.
    pub writer: ProcessId,
    /// Distinguishes the commits of one process that are in flight at the same time.
    pub nonce: u8,
    /// The entry to write.
    pub entry: JournalEntry,
}
