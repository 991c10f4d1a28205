//! Jobs of the cell that the owner does not hold, since their rows cannot be read.

use crate::owner::JobOwner;
use crate::owner::UnappliedEnd;
use crate::spec::JobIdentity;
use crate::worker::EndList;
use crate::worker::EndedRun;
use crate::worker::PollResponse;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

impl JobOwner {
    /// Leaves out a job of the cell: its runs go on, and their ends are stored for an owner
    /// that can read the job.
    pub fn leave_out(&mut self, job: JobIdentity) {
        self.left_out.insert(job, ());
    }

    /// Lets the runs of a job end that was left out and has been cancelled. Has no effect on
    /// other jobs.
    pub fn cancel_left_out(&mut self, job: &JobIdentity) {
        self.left_out.remove(job);
    }

    /// Applies an end that an owner stored which had left out the job. Its row is deleted with
    /// the next batch.
    pub fn apply_stored_end(&mut self, end: &UnappliedEnd, now: MonoTime, unix_ms: u64) {
        let UnappliedEnd { worker, ended } = end;
        self.finish_ended(worker, ended, now, unix_ms);
        self.applied_ends.push((ended.task, ended.run));
    }

    /// Whether the job was left out, and was not cancelled since.
    pub(super) fn is_left_out(&self, job: &JobIdentity) -> bool {
        self.left_out.contains(job)
    }

    /// Has the end of a run of a job that was left out stored with the next batch, before it is
    /// acknowledged.
    pub(super) fn keep_end(&mut self, worker: &WorkerName, ended: &EndedRun) {
        let end = UnappliedEnd {
            worker: worker.clone(),
            ended: ended.clone(),
        };
        self.unapplied_ends.insert((ended.task, ended.run), end);
    }

    /// Records whether a worker has runs that take an unknown part of its capacity, which it
    /// does not enforce: those of jobs that are not held here, also while they are being stopped.
    pub(super) fn note_unknown_load(&mut self, name: &WorkerName, response: &PollResponse) {
        let mut running = response.running.iter();
        let has_foreign = running.any(|run| !self.jobs.contains(&run.task.job));
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        let service = tracked.entry.as_ref().map(|entry| &entry.service);
        let policy = service.and_then(|service| self.config.services.get(service));
        let has_unknown = has_foreign && !policy.is_some_and(|policy| policy.enforces_capacity);
        // A response that leaves ends out need not list every run.
        tracked.has_unknown_load = match response.ended {
            EndList::Complete(_) => has_unknown,
            EndList::Cut(_) => has_unknown || tracked.has_unknown_load,
        };
    }
}
