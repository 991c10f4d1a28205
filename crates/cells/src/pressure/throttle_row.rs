//! A throttle that an owner asks for.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::WorkerName;

const WHOLE_PERMILLE: u64 = 1_000;

/// A throttle that the owner asks for, until a report shows that it is lifted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThrottleRow {
    /// The worker.
    pub worker: WorkerName,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The part of its processor time that the task is left, in thousandths; the
    /// whole lifts the throttle.
    pub permille: u64,
    /// Whether a report has shown it.
    pub shown: bool,
    /// Why.
    pub cause: String,
}

impl ThrottleRow {
    /// Whether the throttle is to be lifted.
    #[must_use]
    pub const fn lifts(&self) -> bool {
        self.permille >= WHOLE_PERMILLE
    }

    /// The most processor time of a task that was given `cpu_milli`; nothing when
    /// it is not limited.
    #[must_use]
    pub fn limit(&self, cpu_milli: u64) -> Option<u64> {
        (!self.lifts()).then(|| (cpu_milli * self.permille / WHOLE_PERMILLE).max(1))
    }

    /// Lifts the throttle.
    pub fn lift(&mut self, cause: &str) {
        self.permille = WHOLE_PERMILLE;
        self.shown = false;
        cause.clone_into(&mut self.cause);
    }
}
