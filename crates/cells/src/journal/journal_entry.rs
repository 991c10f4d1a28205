//! Entries of a cell's journal.

use serde::Deserialize;
use serde::Serialize;

use crate::journal::EntryBody;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::JournalSequence;

/// One entry of a cell's journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// The entry's position in the journal, counted from 1.
    pub sequence: JournalSequence,
    /// The daemon that wrote it.
    pub writer: DaemonIdentity,
    /// Distinguishes this write from every other write of the same writer.
    pub nonce: u64,
    /// The claim, release or changes that it holds.
    pub body: EntryBody,
}

impl JournalEntry {
    /// Whether both entries come from the same write.
    #[must_use]
    pub fn same_write(&self, other: &Self) -> bool {
        self.sequence == other.sequence && self.writer == other.writer && self.nonce == other.nonce
    }
}
