//! The life of a worker's standing.

use crate::ProbationPhase;
use crate::SetAsidePhase;
use crate::TrustedPhase;
use sapphirestile_core::MonoTime;

const FIRST_TERM_MS: u64 = 300_000;
const LONGEST_TERM_MS: u64 = 600_000;

/// A worker's standing, in one phase of its life.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::StandingCycle;
///
/// let now = MonoTime::from_millis(0);
/// let aside = StandingCycle::trusted().set_aside(now);
/// let trial = aside.begin_probation();
/// let again = trial.set_aside(now);
/// assert_eq!(again.phase().term_ms, 2 * aside.phase().term_ms);
/// let _trusted = again.begin_probation().trust();
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandingCycle<P> {
    phase: P,
}

impl<P> StandingCycle<P> {
    /// What the phase holds.
    #[must_use]
    pub const fn phase(&self) -> &P {
        &self.phase
    }
}

impl StandingCycle<TrustedPhase> {
    /// A worker that nothing speaks against.
    #[must_use]
    pub const fn trusted() -> Self {
        Self {
            phase: TrustedPhase,
        }
    }

    /// Sets the worker aside for the first term.
    #[must_use]
    pub const fn set_aside(self, now: MonoTime) -> StandingCycle<SetAsidePhase> {
        aside_for(now, FIRST_TERM_MS)
    }
}

impl StandingCycle<SetAsidePhase> {
    /// Tries the worker again.
    #[must_use]
    pub const fn begin_probation(self) -> StandingCycle<ProbationPhase> {
        StandingCycle {
            phase: ProbationPhase {
                term_ms: self.phase.term_ms,
            },
        }
    }
}

impl StandingCycle<ProbationPhase> {
    /// A task succeeded: the worker takes work as before.
    #[must_use]
    pub const fn trust(self) -> StandingCycle<TrustedPhase> {
        StandingCycle::trusted()
    }

    /// A task failed: the worker is set aside for twice as long.
    #[must_use]
    pub fn set_aside(self, now: MonoTime) -> StandingCycle<SetAsidePhase> {
        aside_for(now, (self.phase.term_ms * 2).min(LONGEST_TERM_MS))
    }
}

const fn aside_for(now: MonoTime, term_ms: u64) -> StandingCycle<SetAsidePhase> {
    StandingCycle {
        phase: SetAsidePhase {
            until: now.plus_millis(term_ms),
            term_ms,
        },
    }
}
