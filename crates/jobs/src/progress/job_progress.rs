//! Durable progress of a job.

use serde::Deserialize;
use serde::Serialize;

use crate::progress::JobStanding;
use crate::progress::OccurrenceProgress;
use crate::progress::TaskProgress;
use crate::spec::TaskIdentity;

/// Durable state of a job, apart from its specification.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Overall status of the job. It is the first field, so that it can be decoded without
    /// the rest of the row.
    pub standing: JobStanding,
    /// Number of occurrences that have begun, which includes those that are done.
    pub begun: u32,
    /// Occurrences that have begun and are not done.
    pub occurrences: Vec<OccurrenceProgress>,
}

impl JobProgress {
    /// Progress of a task. `None` if its occurrence has not begun or is done.
    #[must_use]
    pub fn task(&self, task: &TaskIdentity) -> Option<&TaskProgress> {
        self.occurrences
            .iter()
            .find(|occurrence| occurrence.number == task.occurrence)?
            .steps
            .get(task.step as usize)?
            .tasks
            .get(task.index as usize)
    }

    /// Number of failed runs of a task.
    #[must_use]
    pub fn task_failures(&self, task: &TaskIdentity) -> usize {
        self.task(task)
            .map_or(0, |progress| progress.failed_runs.len())
    }

    /// Number of failed runs over all tasks of the step that `task` belongs to.
    #[must_use]
    pub fn step_failures(&self, task: &TaskIdentity) -> usize {
        let occurrence = self
            .occurrences
            .iter()
            .find(|occurrence| occurrence.number == task.occurrence);
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(task.step as usize));
        step.map_or(0, |step| {
            let failures = step.tasks.iter().map(|task| task.failed_runs.len());
            failures.sum()
        })
    }

    /// Like [`task`](Self::task), for changing it in place.
    pub fn task_mut(&mut self, task: &TaskIdentity) -> Option<&mut TaskProgress> {
        self.occurrences
            .iter_mut()
            .find(|occurrence| occurrence.number == task.occurrence)?
            .steps
            .get_mut(task.step as usize)?
            .tasks
            .get_mut(task.index as usize)
    }
}
