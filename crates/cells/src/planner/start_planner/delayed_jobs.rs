//! Jobs that are not planned for a while.

use crate::planner::StartPlanner;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::TaskQueue;

impl StartPlanner {
    /// Starts no task of a job before `until`.
    pub fn delay_job(&mut self, job: &JobName, until: MonoTime) {
        self.not_before.insert(job.clone(), until);
    }

    /// Sets the reasons of the jobs that the pass over the queue left out.
    pub(super) fn explain_skipped(&mut self, queue: &TaskQueue, now: MonoTime) {
        for job in queue.jobs() {
            if job.not_before > now {
                let wait_ms = job.not_before.millis_since(now);
                let reason = format!("retried in {wait_ms} ms, after a failure or a stop");
                self.reasons.insert(job.name.clone(), reason);
            } else if !self.customers.contains(&job.customer) {
                let reason = format!("the document has no customer {}", job.customer);
                self.reasons.insert(job.name.clone(), reason);
            }
        }
    }
}
