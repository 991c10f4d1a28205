//! The error for invalid settings.

use sapphirestile_core::IniFault;

/// All faults of a daemon's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The faults, in the order of the sections.
    pub faults: Vec<IniFault>,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} faults in the settings", self.faults.len())?;
        for fault in &self.faults {
            write!(formatter, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
