//! A change that is not valid.

use serde::Deserialize;
use serde::Serialize;

use crate::api::EntryFault;
use sapphirestile_core::DocumentError;

/// Status 422 for a change: nothing was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRefused {
    /// Every fault, in the order of the text.
    pub faults: Vec<EntryFault>,
}

impl From<&DocumentError> for DocumentRefused {
    fn from(fault: &DocumentError) -> Self {
        let faults = fault.faults.iter().map(EntryFault::from).collect();
        Self { faults }
    }
}
