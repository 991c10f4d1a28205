//! The response to a change that is based on an outdated document.

use serde::Deserialize;
use serde::Serialize;

use crate::api::DocumentView;
use sapphirestile_core::ConfigRevision;

/// Body of status 409: nothing was written because another change came first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentConflict {
    /// The revision that the change was based on.
    pub based_on: ConfigRevision,
    /// The active document.
    pub current: DocumentView,
}
