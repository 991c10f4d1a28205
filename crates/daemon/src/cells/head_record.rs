//! The head row of a journal, which every commit replaces.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::JournalEntry;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::JournalSequence;

/// Identifies the latest entry of a journal and the write that added it. A writer that lost
/// the response to its commit recognises by it whether the commit took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Position of the latest entry in the journal.
    pub sequence: JournalSequence,
    /// The daemon incarnation that wrote the entry.
    pub writer: DaemonIdentity,
    /// Random number that distinguishes this write from other writes of the same writer.
    pub nonce: u64,
}

impl HeadRecord {
    /// Creates the head row to be written together with `entry`.
    #[must_use]
    pub fn of(entry: &JournalEntry) -> Self {
        let JournalEntry {
            sequence,
            writer,
            nonce,
            ..
        } = entry;
        Self {
            sequence: *sequence,
            writer: writer.clone(),
            nonce: *nonce,
        }
    }
}
