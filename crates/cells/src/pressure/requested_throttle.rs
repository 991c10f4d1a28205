//! Throttles requested by an owner.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::WorkerName;

const WHOLE_PERMILLE: u64 = 1_000;

/// A throttle that the owner requests, kept until a report confirms that it is lifted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestedThrottle {
    /// The worker that the task runs on.
    pub worker: WorkerName,
    /// The throttled attempt.
    pub attempt: AttemptNumber,
    /// Processor time left to the task, in thousandths of what is allocated to it; 1,000
    /// lifts the throttle.
    pub permille: u64,
    /// Whether a report shows it in effect.
    pub confirmed: bool,
    /// Why it was decided, for explanations and dumps.
    pub cause: String,
}

impl RequestedThrottle {
    /// Whether the throttle is to be lifted.
    #[must_use]
    pub const fn lifts(&self) -> bool {
        self.permille >= WHOLE_PERMILLE
    }

    /// The limit in thousandths of a core for a task with `cpu_milli` allocated; `None` when
    /// the throttle is to be lifted.
    #[must_use]
    pub fn limit(&self, cpu_milli: u64) -> Option<u64> {
        (!self.lifts()).then(|| (cpu_milli * self.permille / WHOLE_PERMILLE).max(1))
    }

    /// Requests that the throttle is lifted.
    pub fn lift(&mut self, cause: &str) {
        self.permille = WHOLE_PERMILLE;
        self.confirmed = false;
        cause.clone_into(&mut self.cause);
    }
}
