//! The response to an invalid change.

use serde::Deserialize;
use serde::Serialize;

use crate::api::EntryFault;
use sapphirestile_core::DocumentError;

/// Body of status 422: the document is invalid and was not written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRefused {
    /// All faults found, in the order of the text.
    pub faults: Vec<EntryFault>,
}

impl From<&DocumentError> for DocumentRefused {
    fn from(fault: &DocumentError) -> Self {
        let faults = fault.faults.iter().map(EntryFault::from).collect();
        Self { faults }
    }
}
