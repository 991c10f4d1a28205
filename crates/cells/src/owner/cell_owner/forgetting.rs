//! What an owner forgets.

use crate::journal::CellTransition;
use crate::owner::CellOwner;
use crate::owner::OpenPhase;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;

const JOB_RETENTION_MS: u64 = 3_600_000;
const ENDED_TASKS_MAX: u32 = 5_000;
const RECORD_RETENTION_S: u64 = 86_400;
const RECORD_RETENTION_MIN_S: u64 = 600;
const RECORDS_MANY: usize = 2_000;

impl CellOwner<OpenPhase> {
    /// Forgets jobs that ended an hour ago, sooner when they are many, and records
    /// of requests that are a day old, or ten minutes when they are many: what a cell
    /// keeps has to fit a row of the store. Both are changes of the journal, so
    /// that a name which is used again after it was forgotten is also new to
    /// whoever replays it.
    pub fn forget_old(&mut self, now: MonoTime, unix_s: u64) {
        self.note_ended_jobs(now);
        for job in self.jobs_to_forget(now) {
            self.phase.ended.remove(&job);
            self.phase.planner.forget_job(&job);
            self.phase.pressure.forget_job(&job);
            self.propose_sure(CellTransition::JobForgotten(job));
        }
        self.phase.planner.forget_jobs(&self.state);
        let many = self.state.records().len() > RECORDS_MANY;
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
            self.propose_sure(CellTransition::RecordsForgotten { before_unix_s });
        }
    }

    fn note_ended_jobs(&mut self, now: MonoTime) {
        for (job, record) in self.state.jobs().iter() {
            if record.open_tasks == 0 && !self.phase.ended.contains(job) {
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
        // The latest come first, and stay while there is room.
        for (since, job) in ended {
            let record = self.state.jobs().get(job);
            kept = kept.saturating_add(record.map_or(0, |record| record.order.tasks));
            if kept > ENDED_TASKS_MAX || now.millis_since(since) >= JOB_RETENTION_MS {
                forgotten.push(job.clone());
            }
        }
        forgotten
    }
}
