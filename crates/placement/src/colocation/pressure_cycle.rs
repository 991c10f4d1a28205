//! Life cycle of the pressure on a worker.

use crate::ThrottledPhase;
use crate::UnthrottledPhase;
use sapphirestile_core::MonoTime;

/// The throttles on a worker's tasks in phase `P`; only the transitions valid in it
/// exist.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::PressureCycle;
///
/// let cycle = PressureCycle::unthrottled().throttle(MonoTime::from_millis(0));
/// assert_eq!(cycle.phase().throttles, 1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureCycle<P> {
    phase: P,
}

impl<P> PressureCycle<P> {
    /// The data of the phase.
    #[must_use]
    pub const fn phase(&self) -> &P {
        &self.phase
    }
}

impl PressureCycle<UnthrottledPhase> {
    /// Creates the initial state, without throttles.
    #[must_use]
    pub const fn unthrottled() -> Self {
        Self {
            phase: UnthrottledPhase,
        }
    }

    /// Adds the first throttle at `now`.
    #[must_use]
    pub const fn throttle(self, now: MonoTime) -> PressureCycle<ThrottledPhase> {
        throttled(1, now)
    }
}

impl PressureCycle<ThrottledPhase> {
    /// Adds a throttle at `now`.
    #[must_use]
    pub const fn throttle(self, now: MonoTime) -> Self {
        throttled(self.phase.throttles + 1, now)
    }

    /// Removes a throttle at `now`, because a task was stopped or released.
    ///
    /// # Errors
    ///
    /// The unthrottled cycle if no throttle is left. This is a transition, not a
    /// failure.
    pub const fn remove_throttle(
        self,
        now: MonoTime,
    ) -> Result<Self, PressureCycle<UnthrottledPhase>> {
        match self.phase.throttles.saturating_sub(1) {
            0 => Err(PressureCycle::unthrottled()),
            throttles => Ok(throttled(throttles, now)),
        }
    }

    /// Sets the number of throttle steps in force, which must not be 0.
    #[must_use]
    pub const fn with_throttles(self, throttles: u32) -> Self {
        Self {
            phase: ThrottledPhase {
                throttles,
                ..self.phase
            },
        }
    }

    /// Sets since when the slowdown is below the lower threshold; `None` if it is not.
    #[must_use]
    pub const fn with_below_low_since(self, below_low_since: Option<MonoTime>) -> Self {
        Self {
            phase: ThrottledPhase {
                below_low_since,
                ..self.phase
            },
        }
    }
}

const fn throttled(throttles: u32, now: MonoTime) -> PressureCycle<ThrottledPhase> {
    PressureCycle {
        phase: ThrottledPhase {
            throttles,
            last_action_at: now,
            below_low_since: None,
        },
    }
}
