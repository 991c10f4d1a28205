//! Removal of old jobs and request records.

use crate::journal::CellTransition;
use crate::owner::CellOwner;
use crate::owner::OwningPhase;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;

const JOB_RETENTION_MS: u64 = 3_600_000;
const ENDED_TASKS_MAX: u32 = 5_000;
const RECORD_RETENTION_S: u64 = 86_400;
/// Applies while there are more records than `RECORDS_HIGH_WATER`.
const RECORD_RETENTION_MIN_S: u64 = 600;
const RECORDS_HIGH_WATER: usize = 2_000;

impl CellOwner<OwningPhase> {
    /// Removes jobs that ended an hour ago, or earlier when the ended jobs have more than
    /// 5,000 tasks, and request records older than a day, or older than 10 minutes when
    /// there are more than 2,000: a snapshot of the cell has to fit a row of the store.
    ///
    /// Both are journal transitions, so that whoever replays the journal also sees a
    /// name that is reused after its removal as new.
    pub fn forget_old(&mut self, now: MonoTime, unix_s: u64) {
        self.record_ended_jobs(now);
        for job in self.jobs_to_forget(now) {
            self.phase.ended.remove(&job);
            self.phase.planner.forget_job(&job);
            self.phase.pressure.forget_job(&job);
            self.propose_checked(CellTransition::JobForgotten(job));
        }
        self.phase.planner.forget_jobs(&self.state);
        let many = self.state.records().len() > RECORDS_HIGH_WATER;
        let retention_s = if many {
            RECORD_RETENTION_MIN_S
        } else {
            RECORD_RETENTION_S
        };
        let before_unix_s = unix_s.saturating_sub(retention_s);
        let records = self.state.records().values();
        if records
            .into_iter()
            .any(|record| record.recorded_unix_s < before_unix_s)
        {
            self.propose_checked(CellTransition::RecordsForgotten { before_unix_s });
        }
    }

    fn record_ended_jobs(&mut self, now: MonoTime) {
        for (job, progress) in self.state.jobs().iter() {
            if progress.open_tasks == 0 && !self.phase.ended.contains(job) {
                self.phase.ended.insert(job.clone(), now);
            }
        }
    }

    fn jobs_to_forget(&self, now: MonoTime) -> Vec<JobName> {
        let mut ended: Vec<(MonoTime, &JobName)> = self
            .phase
            .ended
            .iter()
            .map(|(job, since)| (*since, job))
            .collect();
        ended.sort_by(|left, right| right.cmp(left));
        let mut kept = 0_u32;
        let mut forgotten = Vec::new();
        // Newest first; they are kept while their tasks stay within the limit.
        for (since, job) in ended {
            let progress = self.state.jobs().get(job);
            kept = kept.saturating_add(progress.map_or(0, |progress| progress.spec.tasks));
            if kept > ENDED_TASKS_MAX || now.millis_since(since) >= JOB_RETENTION_MS {
                forgotten.push(job.clone());
            }
        }
        forgotten
    }
}
