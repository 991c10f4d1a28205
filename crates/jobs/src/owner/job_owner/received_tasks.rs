//! Tasks that come from other cells, or come home.

use std::sync::Arc;

use crate::owner::DecisionEvent;
use crate::owner::DelegatedTask;
use crate::owner::GuestRemoval;
use crate::owner::JobAge;
use crate::owner::JobEntry;
use crate::owner::JobOwner;
use crate::owner::JobPlace;
use crate::owner::ReturnedTask;
use crate::owner::UnplacedTask;
use crate::progress::JobProgress;
use crate::progress::TaskProgress;
use crate::progress::TaskStage;
use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;
use sapphirestile_core::MonoTime;

impl JobOwner {
    /// Takes over a task that another cell has delegated. Has no effect if the task is here,
    /// or has left since: the number of its latest transfer is higher then.
    pub fn receive_task(&mut self, delegated: DelegatedTask, now: MonoTime, unix_ms: u64) {
        let DelegatedTask {
            task,
            run,
            checkpoint,
            home,
            spec,
            idle_ms,
        } = delegated;
        let place = JobPlace::Guest { home };
        let entry = self.jobs.get_or_insert_with(task.job, || {
            let progress = JobProgress::of_guest(&spec);
            let age_ms = unix_ms.saturating_sub(spec.accepted_unix_ms);
            let age = JobAge::new(age_ms, now);
            Box::new(JobEntry::new(Arc::new(spec), progress, place, age))
        });
        let is_open = entry.place == place && !entry.progress.standing.is_final();
        if !is_open {
            return;
        }
        entry
            .progress
            .add_occurrence_elsewhere(task.occurrence, &entry.spec, home);
        if !accept_task(&mut entry.progress, &task, run, checkpoint) {
            if entry.progress.task(&task).is_some_and(is_here) {
                entry.received.get_or_insert_with(task, || run);
            }
            return;
        }
        entry.received.insert(task, run);
        entry.idle_tasks.insert(task, JobAge::new(idle_ms, now));
        entry.ended = None;
        self.note_arrived(&task);
        self.decisions.push(DecisionEvent::TaskReceived {
            task,
            run,
            from: home,
            idle_ms,
        });
        self.refresh_job(task.job, unix_ms);
    }

    /// Takes back a task that another cell could not place. Its row is removed with the next
    /// batch.
    pub fn take_back_task(&mut self, returned: ReturnedTask, now: MonoTime, unix_ms: u64) {
        let ReturnedTask {
            task,
            run,
            checkpoint,
            from,
            idle_ms,
        } = returned;
        self.absorbed.push((task, run));
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_open = entry.place == JobPlace::Home && !entry.progress.standing.is_final();
        if !is_open || !accept_task(&mut entry.progress, &task, run, checkpoint) {
            return;
        }
        entry.idle_tasks.insert(task, JobAge::new(idle_ms, now));
        self.changed.insert(task.job, ());
        self.note_arrived(&task);
        self.unplaced
            .get_or_insert_with(task, || UnplacedTask::new(now))
            .declined
            .push(from);
        self.decisions.push(DecisionEvent::TaskReceived {
            task,
            run,
            from,
            idle_ms,
        });
        self.refresh_job(task.job, unix_ms);
    }

    /// Has the cancellation of a job deleted of which this cell has no task, with the next
    /// batch: the last one had left when the job ended.
    pub fn forget_ended_elsewhere(&mut self, job: JobIdentity) {
        self.forgotten_guests.push(GuestRemoval {
            job,
            received: Vec::new(),
        });
    }
}

const fn is_here(progress: &TaskProgress) -> bool {
    !matches!(progress.stage, TaskStage::Elsewhere(_))
}

/// Records in the progress of a job that a task has come. Returns false if it was not away, or
/// if the transfer is older than the latest one.
fn accept_task(
    progress: &mut JobProgress,
    task: &TaskIdentity,
    run: u32,
    checkpoint: Box<str>,
) -> bool {
    let Some(task) = progress.task_mut(task) else {
        return false;
    };
    if !matches!(task.stage, TaskStage::Elsewhere(_)) || run <= task.run {
        return false;
    }
    task.stage = TaskStage::Waiting;
    task.run = run;
    task.checkpoint = checkpoint;
    true
}
