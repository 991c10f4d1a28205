//! A cell that a daemon owns.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;

/// A cell and the epoch of its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedCell {
    /// The number of the cell.
    pub cell: CellNumber,
    /// The epoch of the ownership claim, which serves as the fencing token.
    pub epoch: CellEpoch,
}
