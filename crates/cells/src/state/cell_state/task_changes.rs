//! Transitions of tasks.

use crate::state::AssignedPhase;
use crate::state::CellState;
use crate::state::TaskCycle;
use crate::state::TaskEntry;
use crate::state::TaskOutcome;
use crate::state::TransitionError;
use crate::state::WaitingPhase;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

impl CellState {
    /// Undoes an assignment that never reached the journal.
    pub(crate) fn undo_assignment(&mut self, task: &TaskName, attempt: AttemptNumber) {
        let checked = self.unassign(task, attempt, TaskCycle::undo_assignment);
        assert!(
            checked.is_ok(),
            "a task of an assignment in flight changed before the commit: {checked:?}"
        );
    }

    pub(super) fn requeue_task(
        &mut self,
        task: &TaskName,
        attempt: AttemptNumber,
        checkpoint_ms: u64,
        failed: bool,
    ) -> Result<(), TransitionError> {
        self.unassign(task, attempt, |cycle| cycle.requeue(checkpoint_ms, failed))
    }

    /// Returns an assigned task to the queue, or ends it when its job was cancelled.
    pub(super) fn unassign(
        &mut self,
        task: &TaskName,
        attempt: AttemptNumber,
        change: impl FnOnce(TaskCycle<AssignedPhase>) -> TaskCycle<WaitingPhase>,
    ) -> Result<(), TransitionError> {
        let cancelled = self
            .jobs
            .get(&task.job)
            .is_some_and(|progress| progress.cancelled);
        self.move_assigned(task, attempt, |cycle| {
            let waiting = change(cycle);
            if cancelled {
                TaskEntry::Ended(waiting.end(TaskOutcome::Cancelled))
            } else {
                TaskEntry::Waiting(waiting)
            }
        })?;
        if cancelled {
            self.count_ended(&task.job, 1);
        }
        Ok(())
    }

    pub(super) fn check_assignable(
        &self,
        task: &TaskName,
        attempt: AttemptNumber,
    ) -> Result<(), TransitionError> {
        match self.tasks.get(task) {
            Some(TaskEntry::Waiting(cycle)) if attempt > cycle.phase().attempt => Ok(()),
            Some(TaskEntry::Waiting(_)) => Err(TransitionError::OldAttempt),
            Some(_) => Err(TransitionError::WrongPhase),
            None => Err(TransitionError::UnknownTask),
        }
    }

    pub(super) fn move_assigned(
        &mut self,
        task: &TaskName,
        attempt: AttemptNumber,
        change: impl FnOnce(TaskCycle<AssignedPhase>) -> TaskEntry,
    ) -> Result<(), TransitionError> {
        match self.tasks.get(task) {
            Some(TaskEntry::Assigned(cycle)) if cycle.phase().attempt == attempt => {}
            Some(TaskEntry::Assigned(_)) => return Err(TransitionError::OldAttempt),
            Some(_) => return Err(TransitionError::WrongPhase),
            None => return Err(TransitionError::UnknownTask),
        }
        self.replace(task, |entry| match entry {
            TaskEntry::Assigned(cycle) => change(cycle),
            other => other,
        });
        Ok(())
    }

    pub(super) fn replace(&mut self, task: &TaskName, change: impl FnOnce(TaskEntry) -> TaskEntry) {
        if let Some(slot) = self.tasks.get_mut(task) {
            // The new task is a placeholder while the entry is moved out.
            let entry = std::mem::replace(slot, TaskEntry::Waiting(TaskCycle::submitted()));
            *slot = change(entry);
        }
    }
}
