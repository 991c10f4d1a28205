//! What is wrong with settings.

use sapphirestile_core::IniFault;

/// Everything that is wrong with settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The faults, in the order in which they were found.
    pub faults: Vec<IniFault>,
}

impl std::fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (place, fault) in self.faults.iter().enumerate() {
            if place > 0 {
                formatter.write_str("; ")?;
            }
            write!(formatter, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsFault {}
