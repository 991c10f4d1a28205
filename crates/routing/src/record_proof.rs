//! The proof that a request has a durable record.

use sapphirestile_core::CellEpoch;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::RequestKey;

/// Proof that the at-most-once record of a request is in a cell's journal.
///
/// It must be created only by code that has seen the journal entry committed.
#[derive(Debug, PartialEq, Eq)]
pub struct RecordProof {
    key: RequestKey,
    epoch: CellEpoch,
    sequence: JournalSequence,
}

impl RecordProof {
    /// The proof that the record of `key` was committed at `sequence` under `epoch`, and
    /// that the key had no record before.
    #[must_use]
    pub const fn committed(key: RequestKey, epoch: CellEpoch, sequence: JournalSequence) -> Self {
        Self {
            key,
            epoch,
            sequence,
        }
    }

    /// The recorded key.
    #[must_use]
    pub const fn key(&self) -> &RequestKey {
        &self.key
    }

    /// The epoch of the cell ownership under which the record was committed.
    #[must_use]
    pub const fn epoch(&self) -> CellEpoch {
        self.epoch
    }

    /// The sequence number of the record in the journal.
    #[must_use]
    pub const fn sequence(&self) -> JournalSequence {
        self.sequence
    }
}
