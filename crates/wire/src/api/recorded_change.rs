//! An entry of the document's change history.

use serde::Deserialize;
use serde::Serialize;

use crate::api::AuthorName;
use sapphirestile_core::ConfigRevision;

/// One written change of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedChange {
    /// The revision that the change replaced; 0 for the first document.
    pub replaced: ConfigRevision,
    /// The author of the change.
    pub author: AuthorName,
    /// When the change was made, in milliseconds since 1970 UTC.
    pub changed_unix_ms: u64,
    /// One line for each changed key. The number and the length of the lines are limited.
    pub lines: Vec<String>,
}
