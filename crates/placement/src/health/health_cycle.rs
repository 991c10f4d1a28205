//! Life cycle of a worker's health.

use crate::HealthyPhase;
use crate::ProbationPhase;
use crate::QuarantinedPhase;
use sapphirestile_core::MonoTime;

const FIRST_QUARANTINE_MS: u64 = 300_000;
const MAX_QUARANTINE_MS: u64 = 600_000;

/// A worker's health in phase `P`; only the transitions valid in it exist.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::HealthCycle;
///
/// let now = MonoTime::from_millis(0);
/// let first = HealthCycle::healthy().quarantine(now);
/// let probation = first.begin_probation();
/// let second = probation.quarantine(now);
/// assert_eq!(second.phase().quarantine_ms, 2 * first.phase().quarantine_ms);
/// let _healthy = second.begin_probation().restore();
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthCycle<P> {
    phase: P,
}

impl<P> HealthCycle<P> {
    /// The data of the phase.
    #[must_use]
    pub const fn phase(&self) -> &P {
        &self.phase
    }
}

impl HealthCycle<HealthyPhase> {
    /// Creates the initial state: a worker without known faults.
    #[must_use]
    pub const fn healthy() -> Self {
        Self {
            phase: HealthyPhase,
        }
    }

    /// Quarantines the worker for 5 minutes.
    #[must_use]
    pub const fn quarantine(self, now: MonoTime) -> HealthCycle<QuarantinedPhase> {
        quarantined_for(now, FIRST_QUARANTINE_MS)
    }
}

impl HealthCycle<QuarantinedPhase> {
    /// Ends the quarantine.
    #[must_use]
    pub const fn begin_probation(self) -> HealthCycle<ProbationPhase> {
        HealthCycle {
            phase: ProbationPhase {
                quarantine_ms: self.phase.quarantine_ms,
            },
        }
    }
}

impl HealthCycle<ProbationPhase> {
    /// Returns the worker to normal use after a task succeeded.
    #[must_use]
    pub const fn restore(self) -> HealthCycle<HealthyPhase> {
        HealthCycle::healthy()
    }

    /// Quarantines the worker again for twice as long, at most 10 minutes.
    #[must_use]
    pub fn quarantine(self, now: MonoTime) -> HealthCycle<QuarantinedPhase> {
        quarantined_for(now, (self.phase.quarantine_ms * 2).min(MAX_QUARANTINE_MS))
    }
}

const fn quarantined_for(now: MonoTime, quarantine_ms: u64) -> HealthCycle<QuarantinedPhase> {
    HealthCycle {
        phase: QuarantinedPhase {
            until: now.plus_millis(quarantine_ms),
            quarantine_ms,
        },
    }
}
