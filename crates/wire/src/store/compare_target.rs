//! What a condition compares.

use serde::Deserialize;
use serde::Serialize;

/// What a condition compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// The revision of the last write.
    Mod,
}
