//! A change that lost a race.

use serde::Deserialize;
use serde::Serialize;

use crate::api::DocumentView;
use sapphirestile_core::ConfigRevision;

/// Status 409 for a change: nothing was written, another change was before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentConflict {
    /// The revision that the change was based on.
    pub based_on: ConfigRevision,
    /// The document that is in force.
    pub current: DocumentView,
}
