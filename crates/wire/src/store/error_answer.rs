//! The store's answer to a call that failed.

use serde::Deserialize;
use serde::Serialize;

/// Why the store failed a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// What went wrong.
    #[serde(default)]
    pub message: String,
}
