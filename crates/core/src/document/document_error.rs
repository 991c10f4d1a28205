//! The error of an invalid document.

use crate::IniFault;

/// All faults of an invalid document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// The faults: first those of single sections in the order of the text, then those
    /// between sections.
    pub faults: Vec<IniFault>,
}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} faults in the document", self.faults.len())?;
        for fault in &self.faults {
            write!(formatter, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for DocumentError {}
