//! The proof that a request is recorded.

use sapphirestile_core::CellEpoch;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::RequestKey;

/// Proof that the at-most-once record of a request is in a cell's journal.
///
/// Only the code that saw the journal entry committed makes one.
#[derive(Debug, PartialEq, Eq)]
pub struct RecordProof {
    key: RequestKey,
    epoch: CellEpoch,
    sequence: JournalSequence,
}

impl RecordProof {
    /// The record of `key` was committed at `sequence` under `epoch`, and no
    /// record of the key stood before it.
    #[must_use]
    pub const fn committed(key: RequestKey, epoch: CellEpoch, sequence: JournalSequence) -> Self {
        Self {
            key,
            epoch,
            sequence,
        }
    }

    /// The key recorded.
    #[must_use]
    pub const fn key(&self) -> &RequestKey {
        &self.key
    }

    /// The epoch of the cell's owner that committed the record.
    #[must_use]
    pub const fn epoch(&self) -> CellEpoch {
        self.epoch
    }

    /// The place of the record in the journal.
    #[must_use]
    pub const fn sequence(&self) -> JournalSequence {
        self.sequence
    }
}
