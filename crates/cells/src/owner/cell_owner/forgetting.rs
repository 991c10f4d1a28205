//! What an owner forgets.

use crate::journal::CellTransition;
use crate::owner::CellOwner;
use crate::owner::OpenPhase;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;

const JOB_RETENTION_MS: u64 = 3_600_000;
const RECORD_RETENTION_S: u64 = 86_400;

impl CellOwner<OpenPhase> {
    /// Forgets jobs that ended an hour ago, and records of requests that are a
    /// day old. Both are changes of the journal, so that a name which is used
    /// again after it was forgotten is also new to whoever replays it.
    pub fn forget_old(&mut self, now: MonoTime, unix_s: u64) {
        self.note_ended_jobs(now);
        for job in self.jobs_to_forget(now) {
            self.phase.ended.remove(&job);
            self.phase.planner.forget_job(&job);
            self.propose_sure(CellTransition::JobForgotten(job));
        }
        self.phase.planner.forget_jobs(&self.state);
        let before_unix_s = unix_s.saturating_sub(RECORD_RETENTION_S);
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
        let ended = self.phase.ended.iter();
        ended
            .filter(|(_, since)| now.millis_since(**since) >= JOB_RETENTION_MS)
            .map(|(job, _)| job.clone())
            .collect()
    }
}
