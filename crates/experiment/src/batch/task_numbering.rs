//! Conversions between names, jobs and task indices.

use crate::plan::JobProfile;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::TaskIndex;
use sapphirestile_placement::WaitingJob;

/// Numbers the tasks of all jobs consecutively, one job after the other.
#[derive(Clone, Debug)]
pub(super) struct TaskNumbering {
    first_task: Vec<usize>,
    /// The number of tasks of all jobs.
    pub(super) task_count: usize,
}

impl TaskNumbering {
    /// Numbers the tasks of `jobs`.
    pub(super) fn new(jobs: &[JobProfile]) -> Self {
        let mut numbering = Self {
            first_task: Vec::with_capacity(jobs.len()),
            task_count: 0,
        };
        for job in jobs {
            numbering.first_task.push(numbering.task_count);
            numbering.task_count += job.tasks.len();
        }
        numbering
    }

    /// The index in the list of all tasks of the task `index` of `job`.
    pub(super) fn task_number(&self, job: usize, index: TaskIndex) -> usize {
        self.first_task[job] + usize::try_from(index.get()).unwrap_or(0)
    }

    /// The index within `job` of `task`, which is given by its index in the list of all
    /// tasks.
    pub(super) fn index_in_job(&self, job: usize, task: usize) -> TaskIndex {
        TaskIndex::new(u32::try_from(task - self.first_task[job]).unwrap_or(u32::MAX))
    }

    /// The index of a job in the workload, which its name ends with.
    pub(super) fn job_number(name: &JobName) -> usize {
        let digits = name.as_str().rsplit('-').next().unwrap_or("");
        digits
            .parse()
            .expect("the name of a job ends with its index")
    }

    /// The queue entry of `job` with the given waiting `tasks`, submitted at `now`.
    pub(super) fn waiting_job(
        job: &JobProfile,
        now: MonoTime,
        tasks: Vec<TaskIndex>,
    ) -> WaitingJob {
        WaitingJob {
            name: job.name.clone(),
            customer: job.customer.clone(),
            urgent: job.urgent,
            declared: job.declared,
            zones: Vec::new(),
            submitted: now,
            not_before: MonoTime::default(),
            tasks,
        }
    }
}
