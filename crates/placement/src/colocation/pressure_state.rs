//! A worker's pressure, as a table stores it.

use crate::CalmPhase;
use crate::PressureAction;
use crate::PressureCycle;
use crate::PressurePolicy;
use crate::ThrottledPhase;
use sapphirestile_core::MonoTime;

/// A worker's pressure in whichever phase it is.
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
/// // Measured before the throttle: says nothing about it.
/// assert_eq!(state.decide(600, at(10_000), at(40_000), &policy), PressureAction::Leave);
/// assert_eq!(state.decide(600, at(45_000), at(75_000), &policy), PressureAction::ThrottleOne);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureState {
    /// No task is throttled.
    Calm(PressureCycle<CalmPhase>),
    /// Some tasks are throttled.
    Throttled(PressureCycle<ThrottledPhase>),
}

impl Default for PressureState {
    fn default() -> Self {
        Self::Calm(PressureCycle::calm())
    }
}

impl PressureState {
    /// What to do after a slowdown measured at `measured` has arrived at `now`.
    pub fn decide(
        &mut self,
        slowdown_permille: u64,
        measured: MonoTime,
        now: MonoTime,
        policy: &PressurePolicy,
    ) -> PressureAction {
        let high = slowdown_permille > policy.high_permille;
        match *self {
            Self::Calm(cycle) if high => {
                *self = Self::Throttled(cycle.throttle(now));
                PressureAction::ThrottleOne
            }
            Self::Calm(_) => PressureAction::Leave,
            Self::Throttled(cycle) if measured <= cycle.phase().acted => PressureAction::Leave,
            Self::Throttled(cycle) if high => self.press(cycle, now, policy),
            Self::Throttled(cycle) if slowdown_permille >= policy.low_permille => {
                *self = Self::Throttled(cycle.with_calm_since(None));
                PressureAction::Leave
            }
            Self::Throttled(cycle) => self.ease(cycle, measured, now, policy),
        }
    }

    /// The tasks that were throttled are gone.
    pub const fn clear(&mut self) {
        *self = Self::Calm(PressureCycle::calm());
    }

    /// Takes note of how many throttles are in force, the last of them since `since`
    /// as far as is known: tasks end, and a new owner finds throttles of the one
    /// before.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::MonoTime;
    /// use sapphirestile_placement::PressureState;
    ///
    /// let mut state = PressureState::default();
    /// state.align(2, MonoTime::from_millis(5));
    /// assert_ne!(state, PressureState::default());
    /// state.align(0, MonoTime::from_millis(9));
    /// assert_eq!(state, PressureState::default());
    /// ```
    pub const fn align(&mut self, throttles: u32, since: MonoTime) {
        *self = match *self {
            _ if throttles == 0 => Self::Calm(PressureCycle::calm()),
            Self::Calm(cycle) => Self::Throttled(cycle.throttle(since).with_throttles(throttles)),
            Self::Throttled(cycle) => Self::Throttled(cycle.with_throttles(throttles)),
        };
    }

    fn press(
        &mut self,
        cycle: PressureCycle<ThrottledPhase>,
        now: MonoTime,
        policy: &PressurePolicy,
    ) -> PressureAction {
        if cycle.phase().throttles < policy.throttles_before_stop {
            *self = Self::Throttled(cycle.throttle(now));
            return PressureAction::ThrottleOne;
        }
        self.drop_one(cycle, now);
        PressureAction::StopOne
    }

    fn ease(
        &mut self,
        cycle: PressureCycle<ThrottledPhase>,
        measured: MonoTime,
        now: MonoTime,
        policy: &PressurePolicy,
    ) -> PressureAction {
        let since = cycle.phase().calm_since.unwrap_or(measured);
        if measured.millis_since(since) < policy.release_after_ms {
            *self = Self::Throttled(cycle.with_calm_since(Some(since)));
            return PressureAction::Leave;
        }
        self.drop_one(cycle, now);
        PressureAction::ReleaseOne
    }

    fn drop_one(&mut self, cycle: PressureCycle<ThrottledPhase>, now: MonoTime) {
        *self = match cycle.drop_one(now) {
            Ok(cycle) => Self::Throttled(cycle),
            Err(cycle) => Self::Calm(cycle),
        };
    }
}
