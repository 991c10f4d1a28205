//! Errors in the settings.

use sapphirestile_core::IniFault;

/// All errors found in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The errors in the order in which they were found.
    pub faults: Vec<IniFault>,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                formatter.write_str("; ")?;
            }
            write!(formatter, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
