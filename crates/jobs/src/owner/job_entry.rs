//! A job as its owner holds it.

use std::sync::Arc;

use crate::owner::JobAge;
use crate::owner::JobDeparture;
use crate::owner::JobPlace;
use crate::owner::WaitKey;
use crate::planner::RunHistory;
use crate::planner::TaskDemand;
use crate::progress::JobProgress;
use crate::progress::TaskStage;
use crate::spec::JobIdentity;
use crate::spec::JobSpec;
use crate::spec::TaskIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// A job as its owner holds it in memory.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Specification by the caller.
    pub spec: Arc<JobSpec>,
    /// Durable state of the job.
    pub progress: JobProgress,
    /// Key in the waiting list; `None` while no task can start.
    pub wait_key: Option<WaitKey>,
    /// Time since the job was accepted.
    pub age: JobAge,
    /// Time since the latest run here ended; since the job was accepted if this owner knows of
    /// no run that did.
    pub idle: JobAge,
    /// Number of runs that this owner has stopped because they slowed others.
    pub moves: u32,
    /// Time since the latest run of each long-running task ended, of those that do not run.
    pub idle_tasks: SortedTable<TaskIdentity, JobAge>,
    /// When the job ended; `None` before.
    pub ended: Option<MonoTime>,
    /// How the job is leaving the cell; `None` while it stays.
    pub departure: Option<JobDeparture>,
    /// Where the job has its home.
    pub place: JobPlace,
    /// Tasks that are being transferred to another cell, so that they may not start here.
    pub transferring: Vec<TaskIdentity>,
    /// Tasks that the home of the job has delegated to this cell, with the number of the
    /// transfer of each.
    pub received: SortedTable<TaskIdentity, u32>,
}

impl JobEntry {
    /// Creates the entry of a job of the given age.
    pub const fn new(
        spec: Arc<JobSpec>,
        progress: JobProgress,
        place: JobPlace,
        age: JobAge,
    ) -> Self {
        Self {
            spec,
            progress,
            wait_key: None,
            age,
            idle: age,
            moves: 0,
            idle_tasks: SortedTable::new(),
            ended: None,
            departure: None,
            place,
            transferring: Vec::new(),
            received: SortedTable::new(),
        }
    }

    /// Whether a task that was assigned before waits here for a worker, so that its job can
    /// leave the cell no more.
    pub fn has_waiting(&self, task: &TaskIdentity) -> bool {
        let progress = self.progress.task(task);
        !self.progress.standing.is_final()
            && progress.is_some_and(|task| task.stage == TaskStage::Waiting && task.run > 0)
            && !self.transferring.contains(task)
    }

    /// Long-running tasks that were assigned before and wait here for a worker.
    pub fn waiting_alone(&self, job: JobIdentity) -> impl Iterator<Item = TaskIdentity> {
        let steps = self.progress.occurrences.iter().flat_map(|occurrence| {
            let steps = occurrence.steps.iter().enumerate();
            steps.map(|(step, progress)| (occurrence.number, step, progress))
        });
        let steps = steps.filter(|(_, step, _)| self.spec.steps[*step].may_run_alone());
        let tasks = steps.flat_map(move |(occurrence, step, progress)| {
            (0..progress.tasks.len()).map(move |index| TaskIdentity {
                job,
                occurrence,
                step: u32::try_from(step).unwrap_or(u32::MAX),
                index: u32::try_from(index).unwrap_or(u32::MAX),
            })
        });
        tasks.filter(|task| self.has_waiting(task))
    }

    /// Tasks that can start now, ordered by occurrence, step and index. Tasks of a gang are
    /// included only while all of them wait.
    pub fn startable<'a>(
        &'a self,
        key: &'a WaitKey,
        service: &'a str,
    ) -> impl Iterator<Item = TaskDemand<'a>> {
        let is_guest = self.place.is_guest();
        let steps = self
            .progress
            .occurrences
            .iter()
            .flat_map(move |occurrence| {
                // The home delegates tasks of open steps only, and alone knows what is done.
                let open_steps = (0..occurrence.steps.len())
                    .filter(move |&step| is_guest || occurrence.is_step_open(&self.spec, step));
                open_steps.map(move |step| (occurrence, step))
            });
        let tasks = steps.flat_map(move |(occurrence, step)| {
            let progress = &occurrence.steps[step];
            let can_start = !self.spec.steps[step].is_gang
                || progress
                    .tasks
                    .iter()
                    .all(|task| task.stage == TaskStage::Waiting);
            let tasks = progress.tasks.iter().enumerate().filter(move |_| can_start);
            let waiting = tasks.filter(|(_, task)| task.stage == TaskStage::Waiting);
            waiting.map(move |(index, _)| TaskDemand {
                task: TaskIdentity {
                    job: key.job,
                    occurrence: occurrence.number,
                    step: u32::try_from(step).unwrap_or(u32::MAX),
                    index: u32::try_from(index).unwrap_or(u32::MAX),
                },
                service,
                step: &self.spec.steps[step],
                image: None,
                needs_ticket: false,
                // Whether a first run is overdue is decided when it is planned.
                history: if progress.tasks[index].run > 0 {
                    RunHistory::Started
                } else {
                    RunHistory::New
                },
                is_overdue: false,
            })
        });
        tasks.filter(|demand| !self.transferring.contains(&demand.task))
    }
}
