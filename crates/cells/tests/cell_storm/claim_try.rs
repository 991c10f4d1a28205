//! A claim on its way.

use crate::flight_try::FlightTry;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::ClaimingPhase;

/// A claim whose outcome is not known yet.
pub struct ClaimTry {
    pub owner: CellOwner<ClaimingPhase>,
    pub flight: FlightTry,
}
