//! The phase of a daemon's life cycle, shared between threads.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use sapphirestile_wire::peer::MemberState;

const STARTING: u8 = 0;
const SERVING: u8 = 1;
const DRAINING: u8 = 2;

/// The phase of the daemon's life cycle, readable by every thread without a lock.
///
/// It starts as [`MemberState::Starting`].
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::context::AtomicPhase;
/// use sapphirestile_wire::peer::MemberState;
///
/// let phase = AtomicPhase::default();
/// assert_eq!(phase.get(), MemberState::Starting);
/// phase.set(MemberState::Draining);
/// assert_eq!(phase.get(), MemberState::Draining);
/// ```
#[derive(Debug, Default)]
pub struct AtomicPhase {
    /// One of the constants above.
    value: AtomicU8,
}

impl AtomicPhase {
    /// The current phase.
    #[must_use]
    pub fn get(&self) -> MemberState {
        match self.value.load(Ordering::Acquire) {
            STARTING => MemberState::Starting,
            SERVING => MemberState::Serving,
            _ => MemberState::Draining,
        }
    }

    /// Replaces the current phase.
    pub fn set(&self, state: MemberState) {
        let value = match state {
            MemberState::Starting => STARTING,
            MemberState::Serving => SERVING,
            MemberState::Draining => DRAINING,
        };
        self.value.store(value, Ordering::Release);
    }
}
