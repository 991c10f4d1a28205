//! The record of an ejected runner.

use sapphirestile_core::MonoTime;

use super::EjectionState;

/// The record of a runner that is ejected or on trial.
#[derive(Clone, Copy, Debug)]
pub struct EjectionRecord {
    /// Whether the runner is ejected, on trial or recovered.
    pub state: EjectionState,
    /// How many times the ejection time was doubled, once for each failed trial.
    pub doublings: u32,
}

impl EjectionRecord {
    /// The record of a runner that is ejected until `until` for the first time.
    pub const fn new(until: MonoTime) -> Self {
        Self {
            state: EjectionState::Ejected { until },
            doublings: 0,
        }
    }
}
