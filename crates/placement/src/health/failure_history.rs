//! Recent failures of task attempts.

use crate::FailureRecord;
use crate::FailureVerdict;
use crate::retry_delay_ms;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// Failures older than this are dropped, in milliseconds.
const WINDOW_MS: u64 = 3_600_000;
/// The maximum number of failures kept; the oldest are dropped first.
const RECORDS_MAX: usize = 4_096;
/// A worker is faulty when this many different jobs failed on it and nowhere else.
const FAILED_JOBS_PER_WORKER: usize = 3;
/// A job is faulty when it failed on this many different workers.
const FAILED_WORKERS_PER_JOB: usize = 4;

/// Failed attempts of the last hour, the oldest first.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::JobName;
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_placement::FailureHistory;
/// use sapphirestile_placement::FailureVerdict;
///
/// let worker = WorkerName::try_from("w1").unwrap();
/// let now = MonoTime::from_millis(0);
/// let mut history = FailureHistory::default();
/// let verdicts = ["j1", "j2", "j3"].map(|job| {
///     history.record_failure(&worker, &JobName::try_from(job).unwrap(), now)
/// });
/// assert_eq!(verdicts[2], FailureVerdict::BadWorker);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FailureHistory {
    records: Vec<FailureRecord>,
}

impl FailureHistory {
    /// Records a failure and returns what it indicates.
    ///
    /// The records behind a `BadWorker` or `BadJob` verdict are dropped, so that they
    /// do not count twice.
    pub fn record_failure(
        &mut self,
        worker: &WorkerName,
        job: &JobName,
        now: MonoTime,
    ) -> FailureVerdict {
        self.drop_old(now);
        self.records.push(FailureRecord {
            worker: worker.clone(),
            job: job.clone(),
            at: now,
        });
        let workers = self.workers_failing(job);
        if workers.len() >= FAILED_WORKERS_PER_JOB {
            let workers = workers.len();
            self.forget_job(job);
            return FailureVerdict::BadJob { workers };
        }
        if self.jobs_failing_only_on(worker) >= FAILED_JOBS_PER_WORKER {
            self.forget_worker(worker);
            return FailureVerdict::BadWorker;
        }
        let failures = self
            .records
            .iter()
            .filter(|record| record.job == *job)
            .count();
        FailureVerdict::Retry {
            delay_ms: retry_delay_ms(u32::try_from(failures).unwrap_or(u32::MAX)),
        }
    }

    /// Records that a task of `job` succeeded on `worker`, and drops all failures of
    /// both.
    pub fn record_success(&mut self, worker: &WorkerName, job: &JobName) {
        self.records
            .retain(|record| record.worker != *worker && record.job != *job);
    }

    /// Drops the failures of an ended job.
    pub fn forget_job(&mut self, job: &JobName) {
        self.records.retain(|record| record.job != *job);
    }

    /// The number of failures kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no failures are kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops the failures on a faulty worker, so that they do not count against its
    /// jobs.
    fn forget_worker(&mut self, worker: &WorkerName) {
        self.records.retain(|record| record.worker != *worker);
    }

    fn drop_old(&mut self, now: MonoTime) {
        self.records
            .retain(|record| now.millis_since(record.at) <= WINDOW_MS);
        let surplus = (self.records.len() + 1).saturating_sub(RECORDS_MAX);
        self.records.drain(..surplus);
    }

    fn workers_failing(&self, job: &JobName) -> Vec<&WorkerName> {
        let records = self.records.iter().filter(|record| record.job == *job);
        distinct(records.map(|record| &record.worker))
    }

    /// The number of jobs that failed on `worker` only. Jobs that failed on several
    /// workers are no evidence against this one.
    fn jobs_failing_only_on(&self, worker: &WorkerName) -> usize {
        let records = self
            .records
            .iter()
            .filter(|record| record.worker == *worker);
        distinct(records.map(|record| &record.job))
            .into_iter()
            .filter(|job| self.workers_failing(job).len() == 1)
            .count()
    }
}

fn distinct<'a, T: Ord>(names: impl Iterator<Item = &'a T>) -> Vec<&'a T> {
    let mut names = names.collect::<Vec<_>>();
    names.sort_unstable();
    names.dedup();
    names
}
