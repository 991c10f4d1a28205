//! How far a daemon has come with a cell.

use crate::OpenSeat;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::ClaimingPhase;

/// How far a daemon has come with a cell.
#[derive(Debug)]
pub enum SeatPhase {
    /// Its claim is on its way.
    Claiming(Box<CellOwner<ClaimingPhase>>),
    /// It owns the cell.
    Open(Box<OpenSeat>),
    /// Its release is on its way.
    Releasing,
}
