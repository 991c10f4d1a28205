//! The life of a worker's pressure.

use crate::CalmPhase;
use crate::ThrottledPhase;
use sapphirestile_core::MonoTime;

/// A worker's pressure, in one phase of its life.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::PressureCycle;
///
/// let cycle = PressureCycle::calm().throttle(MonoTime::from_millis(0));
/// assert_eq!(cycle.phase().throttles, 1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureCycle<P> {
    phase: P,
}

impl<P> PressureCycle<P> {
    /// What the phase holds.
    #[must_use]
    pub const fn phase(&self) -> &P {
        &self.phase
    }
}

impl PressureCycle<CalmPhase> {
    /// A worker without throttled tasks.
    #[must_use]
    pub const fn calm() -> Self {
        Self { phase: CalmPhase }
    }

    /// The first throttle.
    #[must_use]
    pub const fn throttle(self, now: MonoTime) -> PressureCycle<ThrottledPhase> {
        throttled(1, now)
    }
}

impl PressureCycle<ThrottledPhase> {
    /// One throttle more.
    #[must_use]
    pub const fn throttle(self, now: MonoTime) -> Self {
        throttled(self.phase.throttles + 1, now)
    }

    /// One throttle less, by a stop or a release; none left is calm.
    ///
    /// # Errors
    ///
    /// The calm cycle when no throttle is left.
    pub const fn drop_one(self, now: MonoTime) -> Result<Self, PressureCycle<CalmPhase>> {
        match self.phase.throttles.saturating_sub(1) {
            0 => Err(PressureCycle::calm()),
            throttles => Ok(throttled(throttles, now)),
        }
    }

    /// The same cycle with another number of throttles, which is not 0.
    #[must_use]
    pub const fn with_throttles(self, throttles: u32) -> Self {
        Self {
            phase: ThrottledPhase {
                throttles,
                ..self.phase
            },
        }
    }

    /// Notes since when the worker is below the lower bound.
    #[must_use]
    pub const fn with_calm_since(self, calm_since: Option<MonoTime>) -> Self {
        Self {
            phase: ThrottledPhase {
                calm_since,
                ..self.phase
            },
        }
    }
}

const fn throttled(throttles: u32, now: MonoTime) -> PressureCycle<ThrottledPhase> {
    PressureCycle {
        phase: ThrottledPhase {
            throttles,
            acted: now,
            calm_since: None,
        },
    }
}
