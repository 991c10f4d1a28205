//! What an owner starts from.

use sapphirestile_jobs::FleetDivision;
use sapphirestile_jobs::JobOwner;

use crate::owner::IntakeGate;

/// What an owner starts from, as loaded from the store.
pub struct LoadedCell {
    /// The owner, which has the jobs and the workers of the cell.
    pub owner: JobOwner,
    /// The list of all workers, from which those of the cell are selected.
    pub division: FleetDivision,
    /// The filter for changes of the jobs from here on.
    pub intake: IntakeGate,
}
