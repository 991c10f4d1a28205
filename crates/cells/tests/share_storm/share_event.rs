//! What happens next.

use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::ShareAnswer;
use sapphirestile_cells::ShareOrder;
use sapphirestile_core::CellNumber;

/// One thing that happens at its time.
#[derive(Debug)]
pub enum ShareEvent {
    /// The cell's owner takes a step.
    Step(CellNumber),
    /// The owner's entry reaches the store.
    Land(CellNumber, u64, JournalEntry),
    /// A report reaches its lender.
    Reported(ShareOrder),
    /// An answer reaches its borrower.
    Answered(CellNumber, CellNumber, Vec<ShareAnswer>),
    /// The borrower gives up waiting for the lender.
    GivenUp(CellNumber, CellNumber),
    /// The next owner claims the cell.
    Claim(CellNumber),
}
