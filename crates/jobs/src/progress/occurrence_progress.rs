//! Durable progress of an occurrence.

use serde::Deserialize;
use serde::Serialize;

use crate::progress::StepProgress;
use crate::progress::TaskProgress;
use crate::spec::JobSpec;

/// Progress of one occurrence: one execution of all steps of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Index of the occurrence, from 0.
    pub number: u32,
    /// Progress of each step, in the order of the specification.
    pub steps: Vec<StepProgress>,
}

impl OccurrenceProgress {
    /// Creates the progress of an occurrence in which no task has started.
    #[must_use]
    pub fn new(number: u32, spec: &JobSpec) -> Self {
        let steps = spec.steps.iter().map(|step| StepProgress {
            tasks: vec![TaskProgress::default(); step.tasks as usize],
        });
        Self {
            number,
            steps: steps.collect(),
        }
    }

    /// Whether the occurrence has as many steps as the specification, and each step as many
    /// tasks.
    pub(super) fn has_shape_of(&self, spec: &JobSpec) -> bool {
        let tasks = self.steps.iter().map(|step| step.tasks.len());
        let expected = spec.steps.iter().map(|step| step.tasks as usize);
        tasks.eq(expected)
    }

    /// Whether the numbers of the latest runs leave enough for further runs.
    pub(super) fn has_run_numbers_left(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| &step.tasks);
        tasks.all(|task| task.run <= TaskProgress::STORED_RUN_MAX)
    }

    /// Progress of all tasks, for changing it in place.
    pub fn tasks_mut(&mut self) -> impl Iterator<Item = &mut TaskProgress> {
        self.steps.iter_mut().flat_map(|step| &mut step.tasks)
    }

    /// Whether every task of every step is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepProgress::is_done)
    }

    /// Whether all steps that the given step depends on are done.
    #[must_use]
    pub fn is_step_open(&self, spec: &JobSpec, step: usize) -> bool {
        let after = &spec.steps[step].after;
        after
            .iter()
            .all(|&dependency| self.steps[dependency as usize].is_done())
    }
}
