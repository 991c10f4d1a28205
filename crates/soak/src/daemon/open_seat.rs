//! A cell that is owned.

use crate::SubmitReply;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::OwningPhase;
use sapphirestile_core::MonoTime;

/// A cell that is owned, as far as the daemon knows.
#[derive(Debug)]
pub struct OpenSeat {
    /// The owner.
    pub owner: CellOwner<OwningPhase>,
    /// Answers that wait for a commit.
    pub replies: Vec<SubmitReply>,
    /// When the latest commit was settled.
    pub committed: MonoTime,
    /// The document that the list of workers was made with.
    pub revision: u64,
    /// The document that a commit found to be no longer the latest.
    pub beaten: Option<u64>,
    /// Whether the cell is being given up.
    pub stopping: bool,
}
