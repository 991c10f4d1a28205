//! Effect of ended runs on their tasks and jobs.

use crate::owner::DecisionEvent;
use crate::owner::JobAge;
use crate::owner::JobEntry;
use crate::owner::JobOwner;
use crate::owner::RunCause;
use crate::progress::JobStanding;
use crate::progress::TaskStage;
use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;
use crate::worker::EndKind;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

impl JobOwner {
    /// Records that a run on a worker has ended: frees its capacity, and updates the task,
    /// which is done, has failed or waits again.
    pub(super) fn finish_run(
        &mut self,
        worker: &WorkerName,
        task: &TaskIdentity,
        cause: RunCause,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let removed = match self.workers.get_mut(worker) {
            Some(tracked) => tracked.remove_run(task),
            None => None,
        };
        let Some(run) = removed else {
            return;
        };
        self.decisions.push(DecisionEvent::RunEnded {
            task: *task,
            run: run.run,
            worker: worker.clone(),
            cause,
            age_ms: now.millis_since(run.since),
        });
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        entry.idle = JobAge::new(0, now);
        // A job that was forgotten may have come back with other steps.
        let Some(step) = entry.spec.steps.get(task.step as usize) else {
            return;
        };
        let (is_gang, is_speculative) = (step.is_gang, step.is_speculative);
        let Some(progress) = entry.progress.task_mut(task) else {
            return;
        };
        let is_current = progress.run == run.run && progress.is_assigned_to(worker);
        let is_copy = is_speculative && progress.stage != TaskStage::Done;
        if !is_current && !is_copy {
            return;
        }
        if is_current {
            progress.stage = TaskStage::Waiting;
        }
        let is_idle = progress.stage == TaskStage::Waiting;
        if cause.is_done() && !run.is_long_running {
            progress.stage = TaskStage::Done;
            let ran_ms = now.millis_since(run.since);
            self.durations.observe(&entry.spec.queue, ran_ms);
        } else if cause.is_failure() && !run.is_long_running {
            progress.record_failure(run.run);
        }
        let has_no_attempts_left = has_no_attempts_left(entry, task);
        let has_ended = entry.progress.standing.is_final();
        self.changed.insert(task.job, ());
        if has_ended {
            return;
        }
        if is_idle {
            self.note_idle(task, cause, now);
        }
        if is_gang {
            self.end_gang(task, cause, now, unix_ms);
        }
        if is_speculative && cause.is_done() {
            self.stop_copies(task, now);
        }
        if has_no_attempts_left {
            self.end_job(task.job, JobStanding::Failed, now);
        } else {
            self.finish_occurrences(task.job, now);
            self.refresh_job(task.job, unix_ms);
        }
    }

    /// Records that a worker has begun a run of a job. An assignment does not show that: the
    /// start may be refused, or not be sent.
    pub(super) fn note_begun(&mut self, job: &JobIdentity) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.progress.standing == JobStanding::Waiting {
            entry.progress.standing = JobStanding::Running;
            self.begun.insert(*job, ());
        }
    }

    /// Records that an earlier run of a task completed, which was considered lost or has a
    /// copy: the task is done, and its other runs are stopped.
    pub(super) fn finish_by_earlier_run(
        &mut self,
        worker: &WorkerName,
        task: &TaskIdentity,
        run: u32,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let step = entry.spec.steps.get(task.step as usize);
        let is_counted = step.is_some_and(|step| !step.is_long_running && !step.is_gang);
        let Some(progress) = entry.progress.task_mut(task) else {
            return;
        };
        if !is_counted || progress.stage == TaskStage::Done || run > progress.run {
            return;
        }
        progress.stage = TaskStage::Done;
        self.changed.insert(task.job, ());
        self.decisions.push(DecisionEvent::RunEnded {
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

    /// Records that a run which this owner does not track has failed: one that was considered
    /// lost, or that an earlier owner started beside the latest. It uses up an attempt.
    pub(super) fn count_earlier_failure(
        &mut self,
        worker: &WorkerName,
        task: &TaskIdentity,
        run: u32,
        now: MonoTime,
    ) {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let step = entry.spec.steps.get(task.step as usize);
        let is_counted = step.is_some_and(|step| !step.is_long_running && !step.is_gang);
        let Some(progress) = entry.progress.task_mut(task) else {
            return;
        };
        let is_open = progress.stage != TaskStage::Done && run <= progress.run;
        if !is_counted || !is_open || !progress.record_failure(run) {
            return;
        }
        let has_no_attempts_left = has_no_attempts_left(entry, task);
        let has_ended = entry.progress.standing.is_final();
        self.changed.insert(task.job, ());
        self.decisions.push(DecisionEvent::RunEnded {
            task: *task,
            run,
            worker: worker.clone(),
            cause: RunCause::Ended(EndKind::Failed),
            age_ms: 0,
        });
        if has_no_attempts_left && !has_ended {
            self.end_job(task.job, JobStanding::Failed, now);
        }
    }

    fn finish_occurrences(&mut self, identity: JobIdentity, now: MonoTime) {
        let Some(entry) = self.jobs.get_mut(&identity) else {
            return;
        };
        let progress = &mut entry.progress;
        progress
            .occurrences
            .retain(|occurrence| !occurrence.is_done());
        let is_done = progress.occurrences.is_empty() && progress.begun == entry.spec.occurrences();
        if is_done {
            self.end_job(identity, JobStanding::Completed, now);
        }
    }
}

/// Whether the task, or the gang that it belongs to, has failed as often as it may. Tasks of
/// long-running jobs are restarted however they end.
fn has_no_attempts_left(entry: &JobEntry, task: &TaskIdentity) -> bool {
    let step = &entry.spec.steps[task.step as usize];
    let failures = if step.is_gang {
        entry.progress.gang_failures(task)
    } else {
        entry.progress.task_failures(task)
    };
    !step.is_long_running && failures >= entry.spec.terms.attempts as usize
}
