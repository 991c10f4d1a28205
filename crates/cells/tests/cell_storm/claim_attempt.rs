//! Claims in flight.

use crate::commit_attempt::CommitAttempt;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::ClaimingPhase;

/// A claim whose outcome is not known yet.
pub struct ClaimAttempt {
    pub owner: CellOwner<ClaimingPhase>,
    pub in_flight: CommitAttempt,
}
