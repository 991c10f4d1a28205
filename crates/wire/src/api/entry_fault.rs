//! A validation error in one entry of a document.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::IniFault;

/// An invalid entry of a document, with what was expected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryFault {
    /// The section, without brackets.
    pub section: String,
    /// The key; empty when the section itself is invalid.
    pub key: String,
    /// The value found.
    pub value: String,
    /// A description of the values that are valid.
    pub expected: String,
}

impl From<&IniFault> for EntryFault {
    fn from(fault: &IniFault) -> Self {
        Self {
            section: fault.section.clone(),
            key: fault.key.clone(),
            value: fault.value.clone(),
            expected: fault.expected.clone(),
        }
    }
}

impl From<&EntryFault> for IniFault {
    fn from(fault: &EntryFault) -> Self {
        Self {
            section: fault.section.clone(),
            key: fault.key.clone(),
            value: fault.value.clone(),
            expected: fault.expected.clone(),
        }
    }
}

impl std::fmt::Display for EntryFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        IniFault::from(self).fmt(formatter)
    }
}
