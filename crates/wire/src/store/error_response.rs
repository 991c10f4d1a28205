//! The store's response to a failed call.

use serde::Deserialize;
use serde::Serialize;

/// Body of a response with a status other than 200.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The store's error message; empty when absent.
    #[serde(default)]
    pub message: String,
}
