//! Places gangs: tasks that work only while all of them run.

use crate::order::JobIdentity;
use crate::order::TaskAddress;
use crate::owner::JobOwner;
use crate::owner::RunCause;
use crate::planner::TaskDemand;
use crate::state::JobRecord;
use crate::state::TaskPhase;
use crate::worker::RunStanding;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

impl JobOwner {
    /// Assigns all tasks of a gang at once under one run number, or none. Returns how
    /// many were assigned.
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
        let mut wishes: Vec<Option<&str>> = racks.iter().map(|rack| Some(&**rack)).collect();
        wishes.push(None);
        for rack in wishes {
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
        let before = self.remember(&first.task.job);
        let mut placed: Vec<(WorkerName, TaskAddress)> = Vec::new();
        for demand in demands {
            let Some(worker) = self.choose_worker(demand, rack, now) else {
                self.take_back(&first.task.job, before, &placed);
                return false;
            };
            self.assign(&worker, demand, run, now);
            placed.push((worker, demand.task));
        }
        true
    }

    /// What a job's assignments change: its record, and whether that is to be stored.
    fn remember(&self, job: &JobIdentity) -> Option<(JobRecord, bool)> {
        let entry = self.jobs.get(job)?;
        Some((entry.record.clone(), self.changed.contains(job)))
    }

    /// Takes assignments back that are not stored, as if they had never been.
    fn take_back(
        &mut self,
        job: &JobIdentity,
        before: Option<(JobRecord, bool)>,
        placed: &[(WorkerName, TaskAddress)],
    ) {
        let Some((record, was_changed)) = before else {
            return;
        };
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record = record;
        }
        if !was_changed {
            self.changed.remove(job);
        }
        for (worker, task) in placed {
            if let Some(view) = self.workers.get_mut(worker) {
                view.remove_run(task);
            }
        }
        self.held.truncate(self.held.len() - placed.len());
        self.notes.truncate(self.notes.len() - placed.len());
    }

    /// Every label that several workers share, racks among them.
    fn racks(&self) -> Vec<Box<str>> {
        let entries = self.workers.values().filter_map(|view| view.entry.as_ref());
        let mut racks: Vec<Box<str>> = entries.flat_map(|entry| entry.labels.clone()).collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }

    fn highest_run(&self, task: &TaskAddress) -> u32 {
        let entry = self.jobs.get(&task.job);
        let occurrences = entry.map(|entry| entry.record.occurrences.iter());
        let occurrence = occurrences
            .into_iter()
            .flatten()
            .find(|occurrence| occurrence.number == task.occurrence);
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(task.step as usize));
        let runs = step.map(|step| step.tasks.iter().map(|task| task.run));
        runs.into_iter().flatten().max().unwrap_or(0)
    }

    /// Ends the others of a gang of which a run is over: with it they are done, and
    /// without it they do nothing.
    pub(super) fn end_gang(
        &mut self,
        task: &TaskAddress,
        cause: RunCause,
        now: MonoTime,
        unix_ms: u64,
    ) {
        for (worker, other) in self.gang_members(task) {
            if cause.is_done() {
                self.finish_member(&other);
                continue;
            }
            let view = self.workers.get(&worker);
            let run = view.and_then(|view| view.runs.get(&other));
            match run.map(|run| run.standing) {
                Some(RunStanding::Planned) => {
                    self.settle_run(&worker, &other, RunCause::Withdrawn, now, unix_ms);
                }
                Some(_) => self.stop_run(&worker, &other, now),
                None => {}
            }
        }
    }

    fn finish_member(&mut self, task: &TaskAddress) {
        let entry = self.jobs.get_mut(&task.job);
        let record = entry.and_then(|entry| entry.record.task_mut(task));
        if let Some(record) = record {
            record.phase = TaskPhase::Done;
        }
    }

    /// The other members of a task's gang that are assigned, and where.
    fn gang_members(&self, task: &TaskAddress) -> Vec<(WorkerName, TaskAddress)> {
        let Some(entry) = self.jobs.get(&task.job) else {
            return Vec::new();
        };
        let members = entry.order.steps[task.step as usize].tasks;
        let others = (0..members).filter(|index| *index != task.index);
        let assigned = others.filter_map(|index| {
            let other = TaskAddress { index, ..*task };
            match &entry.record.task(&other)?.phase {
                TaskPhase::Assigned(assignment) => Some((assignment.worker.clone(), other)),
                _ => None,
            }
        });
        assigned.collect()
    }
}
