//! The comparison of a condition.

use serde::Deserialize;
use serde::Serialize;

/// The comparison that must hold. Only the one in use is defined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// Both values are equal.
    Equal,
}
