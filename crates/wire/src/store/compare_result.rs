//! How a condition compares.

use serde::Deserialize;
use serde::Serialize;

/// How a condition compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    /// Both are the same.
    Equal,
}
