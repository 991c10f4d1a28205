//! What an entry says.

use serde::Deserialize;
use serde::Serialize;

use crate::journal::CellTransition;

/// What an entry of a journal says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// The writer owns the cell from here on; the entry's place is its epoch.
    Claim,
    /// The writer gives the cell up.
    Release,
    /// Changes that take effect together.
    Batch(Vec<CellTransition>),
}
