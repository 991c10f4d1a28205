//! Simulated events.

use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::LenderReport;
use sapphirestile_cells::ShareAnswer;
use sapphirestile_core::CellNumber;

/// An event at a point of virtual time.
#[derive(Debug)]
pub enum ShareEvent {
    /// The cell's owner runs its periodic step.
    Step(CellNumber),
    /// The store has answered the owner's commit.
    Committed(CellNumber, u64, JournalEntry),
    /// A report reaches its lender.
    Reported(LenderReport),
    /// An answer reaches its borrower.
    Answered(CellNumber, CellNumber, Vec<ShareAnswer>),
    /// The borrower's call to the lender timed out.
    TimedOut(CellNumber, CellNumber),
    /// The next owner claims the cell.
    Claim(CellNumber),
}
