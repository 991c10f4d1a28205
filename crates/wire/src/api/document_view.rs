//! The operators' document as operators read it.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ConfigRevision;

/// Response to `GET /v1/document`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentView {
    /// The active revision; 0 before the first document is written.
    pub revision: ConfigRevision,
    /// The INI text, exactly as it was written.
    pub text: String,
    /// The author of this revision; empty before the first document is written.
    pub author: String,
    /// When this revision was written, in milliseconds since 1970 UTC; 0 before the first
    /// document is written.
    pub changed_unix_ms: u64,
}
