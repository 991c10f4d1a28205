//! A change of the operators' document.

use serde::Deserialize;
use serde::Serialize;

use crate::api::AuthorName;
use sapphirestile_core::ConfigRevision;

/// Body of `PUT /v1/document`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentChange {
    /// The revision that the operator saw.
    pub based_on: ConfigRevision,
    /// The whole new INI text.
    pub text: String,
    /// Who asks for the change.
    pub author: AuthorName,
    /// Whether to check only and write nothing.
    #[serde(default)]
    pub dry_run: bool,
}
