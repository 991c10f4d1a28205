//! The response to an invalid change.

use serde::Deserialize;
use serde::Serialize;

use crate::api::EntryFault;
use sapphirestile_core::DocumentError;

/// Body of status 422: the document is invalid and was not written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRefused {
    /// All faults found: first those of single sections in the order of the text, then those
    /// between sections.
    pub faults: Vec<EntryFault>,
}

impl From<&DocumentError> for DocumentRefused {
    fn from(error: &DocumentError) -> Self {
        let faults = error.faults.iter().map(EntryFault::from).collect();
        Self { faults }
    }
}
