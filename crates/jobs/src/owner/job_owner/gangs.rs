//! Placement of gangs: tasks that make progress only while all of them run.

use crate::owner::JobOwner;
use crate::owner::RunCause;
use crate::owner::StopCause;
use crate::planner::TaskDemand;
use crate::progress::JobProgress;
use crate::progress::TaskStage;
use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;
use crate::worker::RunState;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

impl JobOwner {
    /// Assigns all tasks of a gang at once under one run number, or none of them. Returns the
    /// number of assigned tasks.
    pub(super) fn plan_gang(&mut self, demands: &[TaskDemand<'_>], now: MonoTime) -> usize {
        let Some(first) = demands.first() else {
            return 0;
        };
        let run = 1 + self.highest_run(&first.task);
        let racks = if first.step.prefers_one_rack {
            self.racks()
        } else {
            Vec::new()
        };
        let mut rack_choices: Vec<Option<&str>> = racks.iter().map(|rack| Some(&**rack)).collect();
        rack_choices.push(None);
        for rack in rack_choices {
            if self.try_gang(demands, run, rack, now) {
                return demands.len();
            }
        }
        0
    }

    fn try_gang(
        &mut self,
        demands: &[TaskDemand<'_>],
        run: u32,
        rack: Option<&str>,
        now: MonoTime,
    ) -> bool {
        let Some(first) = demands.first() else {
            return false;
        };
        let snapshot = self.snapshot_job(&first.task.job);
        let mut placed: Vec<(WorkerName, TaskIdentity)> = Vec::new();
        for demand in demands {
            let Some(worker) = self.choose_worker(demand, rack, now) else {
                self.roll_back(&first.task.job, snapshot, &placed);
                return false;
            };
            self.assign(&worker, demand, run, now);
            placed.push((worker, demand.task));
        }
        true
    }

    /// State of a job that assignments change: its progress, and whether that is to be stored.
    fn snapshot_job(&self, job: &JobIdentity) -> Option<(JobProgress, bool)> {
        let entry = self.jobs.get(job)?;
        Some((entry.progress.clone(), self.changed.contains(job)))
    }

    /// Undoes assignments that were not put into a batch yet.
    fn roll_back(
        &mut self,
        job: &JobIdentity,
        snapshot: Option<(JobProgress, bool)>,
        placed: &[(WorkerName, TaskIdentity)],
    ) {
        let Some((progress, was_changed)) = snapshot else {
            return;
        };
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.progress = progress;
        }
        if !was_changed {
            self.changed.remove(job);
        }
        for (worker, task) in placed {
            if let Some(tracked) = self.workers.get_mut(worker) {
                tracked.remove_run(task);
            }
        }
        self.deferred.truncate(self.deferred.len() - placed.len());
        self.decisions.truncate(self.decisions.len() - placed.len());
    }

    /// Every label of any worker; racks are among them.
    fn racks(&self) -> Vec<Box<str>> {
        let entries = self
            .workers
            .values()
            .filter_map(|tracked| tracked.entry.as_ref());
        let mut racks: Vec<Box<str>> = entries.flat_map(|entry| entry.labels.clone()).collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }

    fn highest_run(&self, task: &TaskIdentity) -> u32 {
        let entry = self.jobs.get(&task.job);
        let occurrences = entry.map(|entry| entry.progress.occurrences.iter());
        let occurrence = occurrences
            .into_iter()
            .flatten()
            .find(|occurrence| occurrence.number == task.occurrence);
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(task.step as usize));
        let runs = step.map(|step| step.tasks.iter().map(|task| task.run));
        runs.into_iter().flatten().max().unwrap_or(0)
    }

    /// Ends the other runs of a gang after one has ended. If it completed, the whole gang is
    /// done, whichever of its ends the owner learns of first; otherwise the others cannot make
    /// progress and are stopped.
    pub(super) fn end_gang(
        &mut self,
        task: &TaskIdentity,
        cause: RunCause,
        now: MonoTime,
        unix_ms: u64,
    ) {
        if cause.is_done() {
            self.complete_gang(task);
            return;
        }
        for (worker, other) in self.gang_members(task) {
            let tracked = self.workers.get(&worker);
            let run = tracked.and_then(|tracked| tracked.runs.get(&other));
            match run.map(|run| run.state) {
                Some(RunState::Planned) => {
                    self.finish_run(&worker, &other, RunCause::Withdrawn, now, unix_ms);
                }
                Some(_) => self.stop_run(&worker, &other, StopCause::GangBroken, now),
                None => {}
            }
        }
    }

    /// Completes all tasks of a gang, one of which has completed. The others of the same run
    /// have completed with it, also those that were taken for lost before.
    fn complete_gang(&mut self, task: &TaskIdentity) {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let run = entry.progress.task(task).map(|progress| progress.run);
        for index in 0..entry.spec.steps[task.step as usize].tasks {
            let member = TaskIdentity { index, ..*task };
            let progress = entry.progress.task_mut(&member);
            if let Some(progress) = progress.filter(|progress| Some(progress.run) == run) {
                progress.stage = TaskStage::Done;
            }
        }
    }

    /// The other tasks of a gang that are assigned, and their workers.
    fn gang_members(&self, task: &TaskIdentity) -> Vec<(WorkerName, TaskIdentity)> {
        let Some(entry) = self.jobs.get(&task.job) else {
            return Vec::new();
        };
        let members = entry.spec.steps[task.step as usize].tasks;
        let others = (0..members).filter(|index| *index != task.index);
        let assigned = others.filter_map(|index| {
            let other = TaskIdentity { index, ..*task };
            match &entry.progress.task(&other)?.stage {
                TaskStage::Assigned(assignment) => Some((assignment.worker.clone(), other)),
                _ => None,
            }
        });
        assigned.collect()
    }
}
