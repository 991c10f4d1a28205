//! Transitions of jobs.

use crate::journal::ArraySpec;
use crate::state::ArrayProgress;
use crate::state::CellState;
use crate::state::TaskCycle;
use crate::state::TaskEntry;
use crate::state::TaskOutcome;
use crate::state::TransitionError;
use crate::state::cell_state::TASKS_MAX;
use sapphirestile_core::JobName;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::TaskName;

impl CellState {
    pub(super) fn submit_job(&mut self, spec: &ArraySpec) -> Result<(), TransitionError> {
        if let Some(known) = self.jobs.get(&spec.job) {
            let same = known.spec == *spec;
            let error = if same {
                TransitionError::AlreadySubmitted
            } else {
                TransitionError::NameTaken
            };
            return Err(error);
        }
        if !(1..=TASKS_MAX).contains(&spec.tasks) {
            return Err(TransitionError::TaskCount);
        }
        let open_tasks = spec.tasks;
        let progress = ArrayProgress {
            spec: spec.clone(),
            cancelled: false,
            open_tasks,
        };
        self.jobs.insert(spec.job.clone(), progress);
        let submitted = TaskCycle::submitted_after(self.forgotten_attempt);
        let task = |index| TaskName {
            job: spec.job.clone(),
            index: TaskIndex::new(index),
        };
        let waiting = |index| (task(index), TaskEntry::Waiting(submitted.clone()));
        self.tasks
            .insert_sorted((0..spec.tasks).map(waiting).collect());
        Ok(())
    }

    pub(super) fn cancel_job(&mut self, job: &JobName) -> Result<(), TransitionError> {
        let progress = self.jobs.get_mut(job).ok_or(TransitionError::UnknownJob)?;
        if progress.cancelled {
            return Err(TransitionError::Cancelled);
        }
        progress.cancelled = true;
        let mut ended = 0;
        for (task, entry) in self.tasks.iter_mut() {
            if task.job == *job
                && let TaskEntry::Waiting(cycle) = entry
            {
                *entry = TaskEntry::Ended(cycle.clone().end(TaskOutcome::Cancelled));
                ended += 1;
            }
        }
        self.count_ended(job, ended);
        Ok(())
    }

    pub(super) fn forget_job(&mut self, job: &JobName) -> Result<(), TransitionError> {
        let progress = self.jobs.get(job).ok_or(TransitionError::UnknownJob)?;
        if progress.open_tasks > 0 {
            return Err(TransitionError::WrongPhase);
        }
        self.jobs.remove(job);
        let mut latest = self.forgotten_attempt;
        self.tasks.retain(|task, entry| {
            let forgotten = task.job == *job;
            if let (true, TaskEntry::Ended(cycle)) = (forgotten, entry) {
                latest = latest.max(cycle.phase().attempt);
            }
            !forgotten
        });
        self.forgotten_attempt = latest;
        Ok(())
    }

    pub(super) fn count_ended(&mut self, job: &JobName, tasks: u32) {
        if let Some(progress) = self.jobs.get_mut(job) {
            assert!(
                progress.open_tasks >= tasks,
                "{tasks} tasks ended of a job that has {} open tasks",
                progress.open_tasks
            );
            progress.open_tasks -= tasks;
        }
    }
}
