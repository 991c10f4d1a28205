//! A worker's health in any phase.

use crate::HealthCycle;
use crate::HealthyPhase;
use crate::ProbationPhase;
use crate::QuarantinedPhase;
use sapphirestile_core::MonoTime;

/// A [`HealthCycle`] in any of its phases, for storage in tables.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::WorkerHealth;
///
/// let now = MonoTime::from_millis(0);
/// let mut health = WorkerHealth::default();
/// health.quarantine(now);
/// assert!(!health.takes_work(0));
///
/// health.advance_to(MonoTime::from_millis(300_000));
/// assert!(health.takes_work(0));
/// assert!(!health.takes_work(1));
///
/// health.record_success();
/// assert!(health.takes_work(1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerHealth {
    /// The worker takes tasks without restriction.
    Healthy(HealthCycle<HealthyPhase>),
    /// The worker takes no tasks.
    Quarantined(HealthCycle<QuarantinedPhase>),
    /// The worker takes one task at a time.
    Probation(HealthCycle<ProbationPhase>),
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self::Healthy(HealthCycle::healthy())
    }
}

impl WorkerHealth {
    /// Whether the worker takes another task while it runs `running` tasks.
    #[must_use]
    pub const fn takes_work(&self, running: usize) -> bool {
        match self {
            Self::Healthy(_) => true,
            Self::Quarantined(_) => false,
            Self::Probation(_) => running == 0,
        }
    }

    /// Quarantines the worker, unless it is quarantined already.
    pub fn quarantine(&mut self, now: MonoTime) {
        *self = match *self {
            Self::Healthy(cycle) => Self::Quarantined(cycle.quarantine(now)),
            Self::Probation(cycle) => Self::Quarantined(cycle.quarantine(now)),
            Self::Quarantined(cycle) => Self::Quarantined(cycle),
        };
    }

    /// Records that a task succeeded on the worker, which ends a probation.
    pub const fn record_success(&mut self) {
        if let Self::Probation(cycle) = *self {
            *self = Self::Healthy(cycle.restore());
        }
    }

    /// Begins probation if the quarantine has ended by `now`.
    pub fn advance_to(&mut self, now: MonoTime) {
        if let Self::Quarantined(cycle) = *self
            && cycle.phase().until <= now
        {
            *self = Self::Probation(cycle.begin_probation());
        }
    }
}

impl std::fmt::Display for WorkerHealth {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Healthy(_) => formatter.write_str("takes tasks"),
            Self::Quarantined(cycle) => write!(
                formatter,
                "quarantined for {} ms because different jobs fail on it",
                cycle.phase().quarantine_ms
            ),
            Self::Probation(_) => formatter.write_str("on probation, one task at a time"),
        }
    }
}
