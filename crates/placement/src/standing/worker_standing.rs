//! A worker's standing, as a table stores it.

use crate::ProbationPhase;
use crate::SetAsidePhase;
use crate::StandingCycle;
use crate::TrustedPhase;
use sapphirestile_core::MonoTime;

/// A worker's standing in whichever phase it is.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::WorkerStanding;
///
/// let now = MonoTime::from_millis(0);
/// let mut standing = WorkerStanding::default();
/// standing.blame(now);
/// assert!(!standing.takes_work(0));
///
/// standing.pass_time(MonoTime::from_millis(300_000));
/// assert!(standing.takes_work(0));
/// assert!(!standing.takes_work(1));
///
/// standing.praise();
/// assert!(standing.takes_work(1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStanding {
    /// The worker takes work.
    Trusted(StandingCycle<TrustedPhase>),
    /// The worker takes no work.
    SetAside(StandingCycle<SetAsidePhase>),
    /// The worker takes one task at a time.
    Probation(StandingCycle<ProbationPhase>),
}

impl Default for WorkerStanding {
    fn default() -> Self {
        Self::Trusted(StandingCycle::trusted())
    }
}

impl WorkerStanding {
    /// Whether the worker takes a task beside `running` others.
    #[must_use]
    pub const fn takes_work(&self, running: usize) -> bool {
        match self {
            Self::Trusted(_) => true,
            Self::SetAside(_) => false,
            Self::Probation(_) => running == 0,
        }
    }

    /// Sets the worker aside, unless it is.
    pub fn blame(&mut self, now: MonoTime) {
        *self = match *self {
            Self::Trusted(cycle) => Self::SetAside(cycle.set_aside(now)),
            Self::Probation(cycle) => Self::SetAside(cycle.set_aside(now)),
            Self::SetAside(cycle) => Self::SetAside(cycle),
        };
    }

    /// A task succeeded on the worker.
    pub const fn praise(&mut self) {
        if let Self::Probation(cycle) = *self {
            *self = Self::Trusted(cycle.trust());
        }
    }

    /// Begins the probation when the term is over.
    pub fn pass_time(&mut self, now: MonoTime) {
        if let Self::SetAside(cycle) = *self
            && cycle.phase().until <= now
        {
            *self = Self::Probation(cycle.begin_probation());
        }
    }
}

impl std::fmt::Display for WorkerStanding {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Trusted(_) => formatter.write_str("takes work"),
            Self::SetAside(cycle) => write!(
                formatter,
                "set aside for {} ms because different jobs fail there",
                cycle.phase().term_ms
            ),
            Self::Probation(_) => formatter.write_str("on probation, one task at a time"),
        }
    }
}
