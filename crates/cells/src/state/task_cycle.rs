//! The life of a task.

mod assigned_phase;
mod ended_phase;
mod waiting_phase;

use serde::Deserialize;
use serde::Serialize;

use crate::state::TaskOutcome;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;

pub use assigned_phase::AssignedPhase;
pub use ended_phase::EndedPhase;
pub use waiting_phase::WaitingPhase;

/// A task in one phase of its life.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::TaskCycle;
/// use sapphirestile_core::AttemptNumber;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_core::WorkerName;
///
/// let worker = WorkerName::try_from("worker-1").unwrap();
/// let assigned = TaskCycle::submitted().assign(AttemptNumber::new(1), &worker, ResourceSize::default());
/// let waiting = assigned.give_back(400, false);
/// assert_eq!(waiting.phase().checkpoint_ms, 400);
/// assert_eq!(waiting.phase().attempt.get(), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCycle<Phase> {
    phase: Phase,
}

impl<Phase> TaskCycle<Phase> {
    /// What the phase holds.
    #[must_use]
    pub const fn phase(&self) -> &Phase {
        &self.phase
    }
}

impl TaskCycle<WaitingPhase> {
    /// A task that was just submitted.
    #[must_use]
    pub fn submitted() -> Self {
        Self {
            phase: WaitingPhase::default(),
        }
    }

    /// Assigns the task to a worker as `attempt`.
    ///
    /// # Panics
    ///
    /// When `attempt` is not later than every attempt before.
    #[must_use]
    pub fn assign(
        self,
        attempt: AttemptNumber,
        worker: &WorkerName,
        size: ResourceSize,
    ) -> TaskCycle<AssignedPhase> {
        assert!(
            attempt > self.phase.attempt,
            "an attempt number was used twice"
        );
        let WaitingPhase {
            checkpoint_ms,
            failures,
            ..
        } = self.phase;
        let worker = worker.clone();
        TaskCycle {
            phase: AssignedPhase {
                attempt,
                worker,
                size,
                checkpoint_ms,
                failures,
            },
        }
    }

    /// A task that was just submitted under a name whose attempts up to `attempt`
    /// belonged to a job that is forgotten.
    #[must_use]
    pub fn submitted_after(attempt: AttemptNumber) -> Self {
        let phase = WaitingPhase {
            attempt,
            ..WaitingPhase::default()
        };
        Self { phase }
    }

    /// Ends the task while it waits.
    #[must_use]
    pub fn end(self, outcome: TaskOutcome) -> TaskCycle<EndedPhase> {
        TaskCycle {
            phase: EndedPhase {
                attempt: self.phase.attempt,
                outcome,
            },
        }
    }
}

impl TaskCycle<AssignedPhase> {
    /// Takes note of a checkpoint; an earlier one than the latest changes nothing.
    #[must_use]
    pub fn checkpoint(self, checkpoint_ms: u64) -> Self {
        let checkpoint_ms = self.phase.checkpoint_ms.max(checkpoint_ms);
        Self {
            phase: AssignedPhase {
                checkpoint_ms,
                ..self.phase
            },
        }
    }

    /// Lets the task wait again, from its latest checkpoint.
    #[must_use]
    pub fn give_back(self, checkpoint_ms: u64, failed: bool) -> TaskCycle<WaitingPhase> {
        let AssignedPhase {
            attempt,
            checkpoint_ms: known,
            failures,
            ..
        } = self.phase;
        let checkpoint_ms = known.max(checkpoint_ms);
        let failures = failures.saturating_add(u32::from(failed));
        TaskCycle {
            phase: WaitingPhase {
                attempt,
                checkpoint_ms,
                failures,
            },
        }
    }

    /// Takes an assignment back that never reached the journal, as if it had not
    /// been made: attempts are numbered one by one.
    #[must_use]
    pub(crate) fn take_back(self) -> TaskCycle<WaitingPhase> {
        let AssignedPhase {
            attempt,
            checkpoint_ms,
            failures,
            ..
        } = self.phase;
        TaskCycle {
            phase: WaitingPhase {
                attempt: AttemptNumber::new(attempt.get() - 1),
                checkpoint_ms,
                failures,
            },
        }
    }

    /// Ends the task for good.
    #[must_use]
    pub fn end(self, outcome: TaskOutcome) -> TaskCycle<EndedPhase> {
        TaskCycle {
            phase: EndedPhase {
                attempt: self.phase.attempt,
                outcome,
            },
        }
    }
}
