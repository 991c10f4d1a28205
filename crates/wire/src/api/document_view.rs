//! The operators' document in force.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ConfigRevision;

/// Answer of `GET /v1/document`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentView {
    /// Its revision; 0 when none was written yet.
    pub revision: ConfigRevision,
    /// Its INI text, as it was written.
    pub text: String,
    /// Who wrote it.
    pub author: String,
    /// When it was written, in milliseconds since 1970 UTC.
    pub changed_unix_ms: u64,
}
