//! What becomes of tasks when their runs are over.

use crate::order::JobIdentity;
use crate::order::TaskAddress;
use crate::owner::DecisionNote;
use crate::owner::JobOwner;
use crate::owner::RunCause;
use crate::state::JobStanding;
use crate::state::TaskPhase;
use crate::worker::EndKind;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

impl JobOwner {
    /// Takes note that a run at a worker is over: its room is free, and its task is
    /// done, has failed or waits again.
    pub(super) fn settle_run(
        &mut self,
        worker: &WorkerName,
        task: &TaskAddress,
        cause: RunCause,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let removed = match self.workers.get_mut(worker) {
            Some(view) => view.remove_run(task),
            None => None,
        };
        let Some(run) = removed else {
            return;
        };
        self.notes.push(DecisionNote::RunOver {
            task: *task,
            run: run.run,
            worker: worker.clone(),
            cause,
            age_ms: now.millis_since(run.since),
        });
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let attempts = entry.order.terms.attempts;
        let step = &entry.order.steps[task.step as usize];
        let (is_gang, allows_copies) = (step.is_gang, step.allows_copies);
        let Some(record) = entry.record.task_mut(task) else {
            return;
        };
        let is_current = record.run == run.run && record.is_assigned_to(worker);
        let is_copy = allows_copies && record.phase != TaskPhase::Done;
        if !is_current && !is_copy {
            return;
        }
        if is_current {
            record.phase = TaskPhase::Waiting;
        }
        if cause.is_done() && !run.is_lasting {
            record.phase = TaskPhase::Done;
            let ran_ms = now.millis_since(run.since);
            self.durations.observe(&entry.order.queue, ran_ms);
        } else if cause.is_failure() && !run.is_lasting {
            record.failures += 1;
        }
        let failures = if is_gang {
            entry.record.failures_of_step(task)
        } else {
            entry.record.task(task).map_or(0, |record| record.failures)
        };
        let is_spent = !run.is_lasting && failures >= attempts;
        let is_over = entry.record.standing.is_final();
        self.changed.insert(task.job, ());
        if is_over {
            return;
        }
        if is_gang {
            self.end_gang(task, cause, now, unix_ms);
        }
        if allows_copies && cause.is_done() {
            self.stop_copies(task, now);
        }
        if is_spent {
            self.end_job(task.job, JobStanding::Failed, now);
        } else {
            self.finish_occurrences(task.job, now);
            self.refresh_job(task.job, unix_ms);
        }
    }

    /// Takes note that an earlier run of a task was done, which was taken for lost or
    /// was the copy of another: the task is done, and what runs of it is stopped.
    pub(super) fn finish_by_earlier_run(
        &mut self,
        worker: &WorkerName,
        task: &TaskAddress,
        run: u32,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let step = entry.order.steps.get(task.step as usize);
        let is_counted = step.is_some_and(|step| !step.is_lasting && !step.is_gang);
        let Some(record) = entry.record.task_mut(task) else {
            return;
        };
        if !is_counted || record.phase == TaskPhase::Done || run > record.run {
            return;
        }
        record.phase = TaskPhase::Done;
        self.changed.insert(task.job, ());
        self.notes.push(DecisionNote::RunOver {
            task: *task,
            run,
            worker: worker.clone(),
            cause: RunCause::Ended(EndKind::Done),
            age_ms: 0,
        });
        self.stop_copies(task, now);
        self.finish_occurrences(task.job, now);
        self.refresh_job(task.job, unix_ms);
    }

    fn finish_occurrences(&mut self, identity: JobIdentity, now: MonoTime) {
        let Some(entry) = self.jobs.get_mut(&identity) else {
            return;
        };
        let record = &mut entry.record;
        record
            .occurrences
            .retain(|occurrence| !occurrence.is_done());
        let is_done = record.occurrences.is_empty() && record.begun == entry.order.occurrences();
        if is_done {
            self.end_job(identity, JobStanding::Completed, now);
        }
    }
}
