//! Pressure of a worker in any phase.

use crate::PressureAction;
use crate::PressureCycle;
use crate::PressurePolicy;
use crate::ThrottledPhase;
use crate::UnthrottledPhase;
use sapphirestile_core::MonoTime;

/// A [`PressureCycle`] in any of its phases, for storage in tables.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::PressureAction;
/// use sapphirestile_placement::PressurePolicy;
/// use sapphirestile_placement::PressureState;
///
/// let policy = PressurePolicy::default();
/// let at = MonoTime::from_millis;
/// let mut state = PressureState::default();
/// assert_eq!(state.decide(600, at(0), at(30_000), &policy), PressureAction::ThrottleOne);
/// // Measured before the throttle, so it does not show its effect.
/// assert_eq!(state.decide(600, at(10_000), at(40_000), &policy), PressureAction::NoChange);
/// assert_eq!(state.decide(600, at(45_000), at(75_000), &policy), PressureAction::ThrottleOne);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureState {
    /// No task on the worker is throttled.
    Unthrottled(PressureCycle<UnthrottledPhase>),
    /// At least one throttle is in force.
    Throttled(PressureCycle<ThrottledPhase>),
}

impl Default for PressureState {
    fn default() -> Self {
        Self::Unthrottled(PressureCycle::unthrottled())
    }
}

impl PressureState {
    /// Decides on the action for a slowdown that was measured at `measured` and
    /// received at `now`.
    ///
    /// A measurement from before the last action is ignored.
    pub fn decide(
        &mut self,
        slowdown_permille: u64,
        measured: MonoTime,
        now: MonoTime,
        policy: &PressurePolicy,
    ) -> PressureAction {
        let high = slowdown_permille > policy.high_permille;
        match *self {
            Self::Unthrottled(cycle) if high => {
                *self = Self::Throttled(cycle.throttle(now));
                PressureAction::ThrottleOne
            }
            Self::Unthrottled(_) => PressureAction::NoChange,
            Self::Throttled(cycle) if measured <= cycle.phase().last_action_at => {
                PressureAction::NoChange
            }
            Self::Throttled(cycle) if high => self.escalate(cycle, now, policy),
            Self::Throttled(cycle) if slowdown_permille >= policy.low_permille => {
                *self = Self::Throttled(cycle.with_below_low_since(None));
                PressureAction::NoChange
            }
            Self::Throttled(cycle) => self.relax(cycle, measured, now, policy),
        }
    }

    /// Resets to the unthrottled state, when the throttled tasks are gone.
    pub const fn reset(&mut self) {
        *self = Self::Unthrottled(PressureCycle::unthrottled());
    }

    /// Sets the number of throttles that are actually in force, the last of them
    /// since `since` as far as is known.
    ///
    /// The number differs from the tracked one when throttled tasks have ended, or
    /// when a new owner takes over a cell with throttles of the previous owner.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::MonoTime;
    /// use sapphirestile_placement::PressureState;
    ///
    /// let mut state = PressureState::default();
    /// state.set_throttles(2, MonoTime::from_millis(5));
    /// assert_ne!(state, PressureState::default());
    /// state.set_throttles(0, MonoTime::from_millis(9));
    /// assert_eq!(state, PressureState::default());
    /// ```
    pub const fn set_throttles(&mut self, throttles: u32, since: MonoTime) {
        *self = match *self {
            _ if throttles == 0 => Self::Unthrottled(PressureCycle::unthrottled()),
            Self::Unthrottled(cycle) => {
                Self::Throttled(cycle.throttle(since).with_throttles(throttles))
            }
            Self::Throttled(cycle) => Self::Throttled(cycle.with_throttles(throttles)),
        };
    }

    fn escalate(
        &mut self,
        cycle: PressureCycle<ThrottledPhase>,
        now: MonoTime,
        policy: &PressurePolicy,
    ) -> PressureAction {
        if cycle.phase().throttles < policy.throttles_before_stop {
            *self = Self::Throttled(cycle.throttle(now));
            return PressureAction::ThrottleOne;
        }
        self.remove_throttle(cycle, now);
        PressureAction::StopOne
    }

    fn relax(
        &mut self,
        cycle: PressureCycle<ThrottledPhase>,
        measured: MonoTime,
        now: MonoTime,
        policy: &PressurePolicy,
    ) -> PressureAction {
        let since = cycle.phase().below_low_since.unwrap_or(measured);
        if measured.millis_since(since) < policy.release_after_ms {
            *self = Self::Throttled(cycle.with_below_low_since(Some(since)));
            return PressureAction::NoChange;
        }
        self.remove_throttle(cycle, now);
        PressureAction::ReleaseOne
    }

    fn remove_throttle(&mut self, cycle: PressureCycle<ThrottledPhase>, now: MonoTime) {
        *self = match cycle.remove_throttle(now) {
            Ok(cycle) => Self::Throttled(cycle),
            Err(cycle) => Self::Unthrottled(cycle),
        };
    }
}
