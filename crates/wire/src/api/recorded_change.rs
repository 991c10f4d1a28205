//! A change of the document that was written.

use serde::Deserialize;
use serde::Serialize;

use crate::api::AuthorName;
use sapphirestile_core::ConfigRevision;

/// Who changed what of the document, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedChange {
    /// The revision that the change replaced; 0 for the first document.
    pub replaced: ConfigRevision,
    /// Who changed it.
    pub author: AuthorName,
    /// When, in milliseconds since 1970 UTC.
    pub changed_unix_ms: u64,
    /// One line for each key that changed, cut after the first few.
    pub lines: Vec<String>,
}
