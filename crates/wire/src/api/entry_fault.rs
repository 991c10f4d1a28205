//! A fault of one entry of a document.

use serde::Deserialize;
use serde::Serialize;

/// Where a document is wrong and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryFault {
    /// The section, without brackets.
    pub section: String,
    /// The key; empty when the section itself is at fault.
    pub key: String,
    /// The value found.
    pub value: String,
    /// What would be right.
    pub expected: String,
}
