//! Life cycle of a task.

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

/// A task in one phase of its life cycle.
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
/// let waiting = assigned.requeue(400, false);
/// assert_eq!(waiting.phase().checkpoint_ms, 400);
/// assert_eq!(waiting.phase().attempt.get(), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCycle<Phase> {
    phase: Phase,
}

impl<Phase> TaskCycle<Phase> {
    /// The data of the current phase.
    #[must_use]
    pub const fn phase(&self) -> &Phase {
        &self.phase
    }
}

impl TaskCycle<WaitingPhase> {
    /// A newly submitted task.
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
    /// When `attempt` is not later than every earlier attempt.
    #[must_use]
    pub fn assign(
        self,
        attempt: AttemptNumber,
        worker: &WorkerName,
        size: ResourceSize,
    ) -> TaskCycle<AssignedPhase> {
        assert!(
            attempt > self.phase.attempt,
            "attempt {attempt} is not later than attempt {}",
            self.phase.attempt
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

    /// A newly submitted task whose attempts are numbered after `attempt`, the latest of a
    /// forgotten job: a worker may still hold that attempt.
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
    /// Records a checkpoint; one with less progress than the latest changes nothing.
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

    /// Returns the task to the queue, to resume from its latest checkpoint.
    #[must_use]
    pub fn requeue(self, checkpoint_ms: u64, failed: bool) -> TaskCycle<WaitingPhase> {
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

    /// Undoes an assignment that never reached the journal, including its attempt number:
    /// attempts are numbered without gaps.
    #[must_use]
    pub(crate) fn undo_assignment(self) -> TaskCycle<WaitingPhase> {
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

    /// Ends the task; it gets no further attempt.
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
