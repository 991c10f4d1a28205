//! An entry of a cell's journal.

use serde::Deserialize;
use serde::Serialize;

use crate::journal::EntryBody;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::JournalSequence;

/// One entry of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The entry's place in the journal.
    pub sequence: JournalSequence,
    /// Who wrote it.
    pub writer: DaemonIdentity,
    /// Tells this write from every other of the same writer.
    pub nonce: u64,
    /// What it says.
    pub body: EntryBody,
}

impl JournalEntry {
    /// Whether both entries come from the same write.
    #[must_use]
    pub fn same_write(&self, other: &Self) -> bool {
        self.sequence == other.sequence && self.writer == other.writer && self.nonce == other.nonce
    }
}
