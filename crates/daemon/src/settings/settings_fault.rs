//! Why settings were refused.

use sapphirestile_core::IniFault;

/// Every fault of a daemon's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The faults, section by section.
    pub faults: Vec<IniFault>,
}

impl std::fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} faults in the settings", self.faults.len())?;
        for fault in &self.faults {
            write!(formatter, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsFault {}
