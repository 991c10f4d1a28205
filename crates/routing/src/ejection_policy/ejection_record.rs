//! What is remembered of an ejected runner.

use sapphirestile_core::MonoTime;

use super::EjectionState;

/// What is remembered of an ejected runner.
#[derive(Clone, Copy, Debug)]
pub struct EjectionRecord {
    /// Where it stands.
    pub state: EjectionState,
    /// How often its time was doubled because a trial failed.
    pub doublings: u32,
}

impl EjectionRecord {
    /// A runner ejected until `until`.
    pub const fn new(until: MonoTime) -> Self {
        Self {
            state: EjectionState::Ejected { until },
            doublings: 0,
        }
    }
}
