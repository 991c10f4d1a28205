//! Names and places of the tasks of all jobs.

use crate::plan::JobTruth;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::TaskIndex;
use sapphirestile_placement::WaitingJob;

/// Where the tasks of each job begin in the list of all tasks.
#[derive(Clone, Debug)]
pub(super) struct TaskBook {
    first_task: Vec<usize>,
    /// How many tasks all jobs have.
    pub(super) count: usize,
}

impl TaskBook {
    /// The tasks of `jobs`, one job after the other.
    pub(super) fn new(jobs: &[JobTruth]) -> Self {
        let mut book = Self {
            first_task: Vec::with_capacity(jobs.len()),
            count: 0,
        };
        for job in jobs {
            book.first_task.push(book.count);
            book.count += job.tasks.len();
        }
        book
    }

    /// The place of a task in the list of all tasks.
    pub(super) fn place_of(&self, job: usize, index: TaskIndex) -> usize {
        self.first_task[job] + usize::try_from(index.get()).unwrap_or(0)
    }

    /// The place of `task` in its job.
    pub(super) fn index_of(&self, job: usize, task: usize) -> TaskIndex {
        TaskIndex::new(u32::try_from(task - self.first_task[job]).unwrap_or(u32::MAX))
    }

    /// The place of a job in the workload.
    pub(super) fn number_of(name: &JobName) -> usize {
        let digits = name.as_str().rsplit('-').next().unwrap_or("");
        digits.parse().expect("names of jobs end with their number")
    }

    /// `job` with `tasks` that wait.
    pub(super) fn waiting(job: &JobTruth, now: MonoTime, tasks: Vec<TaskIndex>) -> WaitingJob {
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
