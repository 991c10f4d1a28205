//! The response to an accepted change of the document.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ConfigRevision;

/// Body of status 200: the change was written or, for a dry run, is valid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentAccepted {
    /// The revision that the write created; for a dry run, the active revision.
    pub revision: ConfigRevision,
}
