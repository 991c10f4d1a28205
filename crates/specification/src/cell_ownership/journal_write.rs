//! A commit on its way to the store.

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::process_id::ProcessId;

/// A compare-and-swap at one number of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JournalWrite {
    /// The number that has to be free.
    pub sequence: u8,
    /// Who writes.
    pub writer: ProcessId,
    /// Tells the writer's own writes apart.
    pub nonce: u8,
    /// What is written.
    pub entry: JournalEntry,
}
