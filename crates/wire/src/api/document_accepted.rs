//! A change that took effect.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ConfigRevision;

/// Status 200 for a change: it was written, or, for a dry run, is valid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentAccepted {
    /// The revision of the write; the revision in force for a dry run.
    pub revision: ConfigRevision,
}
