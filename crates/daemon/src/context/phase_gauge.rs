//! How far the daemon's life has come.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use sapphirestile_wire::peer::MemberState;

const STARTING: u8 = 0;
const SERVING: u8 = 1;
const DRAINING: u8 = 2;

/// The daemon's phase, for every thread to read.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::context::PhaseGauge;
/// use sapphirestile_wire::peer::MemberState;
///
/// let gauge = PhaseGauge::default();
/// gauge.set(MemberState::Draining);
/// assert_eq!(gauge.get(), MemberState::Draining);
/// ```
#[derive(Debug, Default)]
pub struct PhaseGauge {
    phase: AtomicU8,
}

impl PhaseGauge {
    /// The phase now.
    #[must_use]
    pub fn get(&self) -> MemberState {
        match self.phase.load(Ordering::Acquire) {
            STARTING => MemberState::Starting,
            SERVING => MemberState::Serving,
            _ => MemberState::Draining,
        }
    }

    /// Enters a phase.
    pub fn set(&self, state: MemberState) {
        let phase = match state {
            MemberState::Starting => STARTING,
            MemberState::Serving => SERVING,
            MemberState::Draining => DRAINING,
        };
        self.phase.store(phase, Ordering::Release);
    }
}
