//! Proposals of transitions.

use crate::journal::CellTransition;
use crate::owner::CellOwner;
use crate::owner::OwningPhase;
use crate::state::AssignedPhase;
use crate::state::TaskEntry;
use crate::state::TaskOutcome;
use crate::state::TransitionError;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

impl CellOwner<OwningPhase> {
    /// Applies a transition to the state and queues it for the next batch.
    pub(super) fn propose(&mut self, transition: CellTransition) -> Result<(), TransitionError> {
        let released = self.released_assignment(&transition);
        self.state.apply(&transition)?;
        if let Some((worker, task)) = released {
            self.phase.assigned.remove(&worker, &task);
            self.phase.memory.forget(&task);
        }
        if let CellTransition::TaskAssigned { worker, task, .. } = &transition {
            self.phase.assigned.add(worker, task);
            self.track_memory(task);
        }
        self.phase.pending.push(transition);
        let entry = self.last_proposed();
        if let Some(change) = self.phase.pending.last() {
            self.phase.log.push_transition(entry, change);
        }
        Ok(())
    }

    /// Tracks the memory of an attempt that starts from the beginning. One that resumes
    /// from a checkpoint may be past the point where its task needs most memory.
    fn track_memory(&mut self, task: &TaskName) {
        let phase = self.assigned_phase(task);
        if phase.is_some_and(|phase| phase.checkpoint_ms == 0) {
            self.phase.memory.track(task);
        }
    }

    /// Proposes a transition that the caller knows to be applicable.
    pub(super) fn propose_checked(&mut self, transition: CellTransition) {
        let proposed = self.propose(transition);
        assert!(
            proposed.is_ok(),
            "a transition that was checked before cannot be applied: {proposed:?}"
        );
    }

    /// The assignment that the transition ends; `None` when it ends none.
    fn released_assignment(&self, transition: &CellTransition) -> Option<(WorkerName, TaskName)> {
        let (CellTransition::TaskReturned { task, .. } | CellTransition::TaskEnded { task, .. }) =
            transition
        else {
            return None;
        };
        let phase = self.assigned_phase(task)?;
        Some((phase.worker.clone(), task.clone()))
    }

    pub(super) fn assigned_to(&self, worker: &str) -> Vec<(TaskName, AssignedPhase)> {
        let tasks = self.phase.assigned.tasks_of(worker).iter();
        tasks
            .map(|task| (task.clone(), self.phase_on(task, worker)))
            .collect()
    }

    fn phase_on(&self, task: &TaskName, worker: &str) -> AssignedPhase {
        let phase = self.assigned_phase(task);
        let phase = phase.filter(|phase| phase.worker.as_str() == worker);
        phase
            .expect("a task in the assignment index is assigned to the same worker in the state")
            .clone()
    }

    pub(super) fn assigned_phase(&self, task: &TaskName) -> Option<&AssignedPhase> {
        match self.state.tasks().get(task)? {
            TaskEntry::Assigned(cycle) => Some(cycle.phase()),
            TaskEntry::Waiting(_) | TaskEntry::Ended(_) => None,
        }
    }

    /// Whether the task's start waits for its assignment to reach the journal.
    pub(super) fn is_withheld(&self, task: &TaskName) -> bool {
        let mut starts = self
            .phase
            .withheld
            .iter()
            .chain(&self.phase.starts_in_flight);
        starts.any(|start| start.task == *task)
    }

    pub(super) fn return_task(
        &mut self,
        task: &TaskName,
        phase: &AssignedPhase,
        checkpoint_ms: u64,
        failed: bool,
    ) {
        self.phase.stopping.remove(task);
        self.phase.pressure.forget_task(task);
        let (task, attempt) = (task.clone(), phase.attempt);
        self.propose_checked(CellTransition::TaskReturned {
            task,
            attempt,
            checkpoint_ms,
            failed,
        });
    }

    pub(super) fn end_task(
        &mut self,
        task: &TaskName,
        phase: &AssignedPhase,
        outcome: TaskOutcome,
    ) {
        self.phase.stopping.remove(task);
        self.phase.pressure.forget_task(task);
        let (task, attempt) = (task.clone(), phase.attempt);
        self.propose_checked(CellTransition::TaskEnded {
            task,
            attempt,
            outcome,
        });
    }
}
