//! The attribute that a condition compares.

use serde::Deserialize;
use serde::Serialize;

/// The attribute of a key that is compared. Only the one in use is defined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// The revision of the key's last write.
    Mod,
}
