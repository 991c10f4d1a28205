//! A daemon's hold on a cell.

use crate::CommitTry;
use crate::OpenSeat;
use crate::SeatPhase;

/// A daemon's hold on a cell.
#[derive(Debug)]
pub struct CellSeat {
    /// The revision of the head row, as the daemon knows it.
    pub head: u64,
    /// The commit whose outcome is not certain yet.
    pub flight: Option<CommitTry>,
    /// How far the daemon has come.
    pub phase: SeatPhase,
}

impl CellSeat {
    /// The owner, once the claim is in the journal.
    pub fn open(&mut self) -> Option<&mut OpenSeat> {
        match &mut self.phase {
            SeatPhase::Open(seat) => Some(seat),
            SeatPhase::Claiming(_) | SeatPhase::Releasing => None,
        }
    }
}
