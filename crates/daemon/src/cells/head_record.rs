//! The row that every entry of a journal replaces.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_cells::JournalEntry;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::JournalSequence;

/// Which entry of a journal is the latest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Its place.
    pub sequence: JournalSequence,
    /// Who wrote it.
    pub writer: DaemonIdentity,
    /// Tells its write from every other of the same writer.
    pub nonce: u64,
}

impl HeadRecord {
    /// The head after `entry`.
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
