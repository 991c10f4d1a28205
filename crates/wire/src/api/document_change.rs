//! A request to change the operators' document.

use serde::Deserialize;
use serde::Serialize;

use crate::api::AuthorName;
use sapphirestile_core::ConfigRevision;

/// Body of `PUT /v1/document`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentChange {
    /// The revision that the operator edited; the change fails if it is no longer the
    /// active one.
    pub based_on: ConfigRevision,
    /// The complete new INI text.
    pub text: String,
    /// The operator who makes the change.
    pub author: AuthorName,
    /// Whether to validate the change without writing it.
    #[serde(default)]
    pub dry_run: bool,
}
