//! Answers that wait for a commit.

use sapphirestile_cells::ShareAnswer;
use sapphirestile_core::CellNumber;
use sapphirestile_core::JournalSequence;

/// An answer that may be sent once `sequence` is in the lender's journal.
#[derive(Debug)]
pub struct PendingAnswer {
    pub sequence: JournalSequence,
    pub borrower: CellNumber,
    pub answers: Vec<ShareAnswer>,
}
