//! What an owner reports about the operators' document.

use serde::Deserialize;
use serde::Serialize;

/// What an owner reports about the operators' document in its ownership row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentReport {
    /// The revision of the latest version that is known to be copied; 0 if there is none.
    pub copied: u64,
    /// The revision of the store up to which there is no later version than that.
    pub followed: u64,
}
