//! Why a document was refused.

use crate::IniFault;

/// Every fault of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentFault {
    /// The faults in the order of the text.
    pub faults: Vec<IniFault>,
}

impl std::fmt::Display for DocumentFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} faults in the document", self.faults.len())?;
        for fault in &self.faults {
            write!(formatter, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for DocumentFault {}
