//! An answer that waits for the lender's journal.

use sapphirestile_cells::ShareAnswer;
use sapphirestile_core::CellNumber;
use sapphirestile_core::JournalSequence;

/// An answer that waits for the lender's journal.
#[derive(Debug)]
pub struct WaitingAnswer {
    pub sequence: JournalSequence,
    pub borrower: CellNumber,
    pub answers: Vec<ShareAnswer>,
}
