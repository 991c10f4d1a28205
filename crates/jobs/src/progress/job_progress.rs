//! Durable progress of a job.

use serde::Deserialize;
use serde::Serialize;

use crate::progress::JobStanding;
use crate::progress::OccurrenceProgress;
use crate::progress::TaskProgress;
use crate::progress::TaskStage;
use crate::spec::JobSpec;
use crate::spec::TaskIdentity;
use sapphirestile_core::CellNumber;

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

    /// Whether no run of the job was ever assigned to a worker, so that nothing of it can be
    /// running. A job whose starts were all refused has not begun, and is not untouched.
    #[must_use]
    pub fn is_untouched(&self) -> bool {
        let occurrences = self.occurrences.iter();
        let steps = occurrences.flat_map(|occurrence| &occurrence.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        self.standing == JobStanding::Waiting && tasks.all(|task| task.run == 0)
    }

    /// Whether the progress can be that of a job with the specification: each occurrence is
    /// there once, with the steps and tasks that the specification has, and each task can run
    /// again.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_jobs::JobProgress;
    /// use sapphirestile_jobs::JobSpec;
    /// use sapphirestile_jobs::OccurrenceProgress;
    /// use sapphirestile_jobs::QueueTerms;
    /// use sapphirestile_jobs::StepSpec;
    ///
    /// let mut spec = JobSpec {
    ///     queue: "charts".into(),
    ///     terms: QueueTerms { service: "sizing".into(), priority: 0, attempts: 3 },
    ///     text: "".into(),
    ///     steps: vec![StepSpec { tasks: 2, ..StepSpec::default() }],
    ///     repeat: None,
    ///     accepted_unix_ms: 0,
    /// };
    /// let progress = JobProgress {
    ///     begun: 1,
    ///     occurrences: vec![OccurrenceProgress::new(0, &spec)],
    ///     ..JobProgress::default()
    /// };
    /// assert!(progress.fits(&spec));
    /// spec.steps[0].tasks = 3;
    /// assert!(!progress.fits(&spec));
    /// ```
    #[must_use]
    pub fn fits(&self, spec: &JobSpec) -> bool {
        let occurrences = self.occurrences.iter();
        let mut numbers: Vec<u32> = occurrences.map(|occurrence| occurrence.number).collect();
        numbers.sort_unstable();
        numbers.dedup();
        let mut occurrences = self.occurrences.iter();
        numbers.len() == self.occurrences.len()
            && occurrences.all(|occurrence| {
                occurrence.has_shape_of(spec) && occurrence.has_run_numbers_left()
            })
    }

    /// Whether a task is assigned to a worker or to another cell, so that it may be running.
    #[must_use]
    pub fn may_be_running(&self) -> bool {
        let occurrences = self.occurrences.iter();
        let steps = occurrences.flat_map(|occurrence| &occurrence.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| match task.stage {
            TaskStage::Assigned(_) | TaskStage::Elsewhere(_) => true,
            TaskStage::Waiting | TaskStage::Done => false,
        })
    }

    /// Progress of a job of another cell, of which no task is here.
    #[must_use]
    pub fn of_guest(spec: &JobSpec) -> Self {
        Self {
            standing: JobStanding::Running,
            begun: spec.occurrences(),
            occurrences: Vec::new(),
        }
    }

    /// Adds an occurrence whose tasks are all in `cell`, unless it is there.
    pub fn add_occurrence_elsewhere(&mut self, number: u32, spec: &JobSpec, cell: CellNumber) {
        let is_known = |occurrence: &OccurrenceProgress| occurrence.number == number;
        if self.occurrences.iter().any(is_known) {
            return;
        }
        let mut occurrence = OccurrenceProgress::new(number, spec);
        for task in occurrence.tasks_mut() {
            task.stage = TaskStage::Elsewhere(cell);
        }
        self.occurrences.push(occurrence);
    }

    /// Whether any task that has begun or may begin is in this cell.
    #[must_use]
    pub fn has_tasks_here(&self) -> bool {
        let occurrences = self.occurrences.iter();
        let steps = occurrences.flat_map(|occurrence| &occurrence.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| !matches!(task.stage, TaskStage::Elsewhere(_)))
    }

    /// Cells that have tasks of the job beside this one, each once.
    #[must_use]
    pub fn other_cells(&self) -> Vec<CellNumber> {
        let occurrences = self.occurrences.iter();
        let steps = occurrences.flat_map(|occurrence| &occurrence.steps);
        let tasks = steps.flat_map(|step| &step.tasks);
        let mut cells: Vec<CellNumber> = tasks
            .filter_map(|task| match task.stage {
                TaskStage::Elsewhere(cell) => Some(cell),
                TaskStage::Waiting | TaskStage::Assigned(_) | TaskStage::Done => None,
            })
            .collect();
        cells.sort_unstable();
        cells.dedup();
        cells
    }

    /// Number of failed runs of a task.
    #[must_use]
    pub fn task_failures(&self, task: &TaskIdentity) -> usize {
        self.task(task)
            .map_or(0, |progress| progress.failed_runs.len())
    }

    /// Number of failed runs of the gang that `task` belongs to. Its members share the number of
    /// a run, so several that fail in the same run use up one attempt.
    #[must_use]
    pub fn gang_failures(&self, task: &TaskIdentity) -> usize {
        let occurrence = self
            .occurrences
            .iter()
            .find(|occurrence| occurrence.number == task.occurrence);
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(task.step as usize));
        let members = step.into_iter().flat_map(|step| &step.tasks);
        let mut failed_runs: Vec<u32> = members
            .flat_map(|member| member.failed_runs.iter().copied())
            .collect();
        failed_runs.sort_unstable();
        failed_runs.dedup();
        failed_runs.len()
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
