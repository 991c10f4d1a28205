//! The store row of the operators' document.

use serde::Deserialize;
use serde::Serialize;

/// The value of the store row that holds the operators' document, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Who wrote it.
    pub author: String,
    /// When it was written, in milliseconds since 1970 UTC.
    pub changed_unix_ms: u64,
    /// Its INI text.
    pub text: String,
}
