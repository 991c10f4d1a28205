//! The failures seen lately.

use crate::FailureNote;
use crate::FailureVerdict;
use crate::retry_delay_ms;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

const WINDOW_MS: u64 = 3_600_000;
const NOTES_MAX: usize = 4_096;
const JOBS_AGAINST_WORKER: usize = 3;
const WORKERS_AGAINST_JOB: usize = 4;

/// Failed attempts within the window, the oldest first.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::JobName;
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_placement::FailureBook;
/// use sapphirestile_placement::FailureVerdict;
///
/// let worker = WorkerName::try_from("w1").unwrap();
/// let now = MonoTime::from_millis(0);
/// let mut book = FailureBook::default();
/// let verdicts = ["j1", "j2", "j3"].map(|job| {
///     book.note_failure(&worker, &JobName::try_from(job).unwrap(), now)
/// });
/// assert_eq!(verdicts[2], FailureVerdict::BadWorker);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FailureBook {
    notes: Vec<FailureNote>,
}

impl FailureBook {
    /// Notes a failure and says what it speaks against.
    pub fn note_failure(
        &mut self,
        worker: &WorkerName,
        job: &JobName,
        now: MonoTime,
    ) -> FailureVerdict {
        self.forget_old(now);
        self.notes.push(FailureNote {
            worker: worker.clone(),
            job: job.clone(),
            at: now,
        });
        let workers = self.workers_failing(job);
        if workers.len() >= WORKERS_AGAINST_JOB {
            let workers = workers.len();
            self.forget_job(job);
            return FailureVerdict::BadJob { workers };
        }
        if self.jobs_failing_only_on(worker) >= JOBS_AGAINST_WORKER {
            self.forget_worker(worker);
            return FailureVerdict::BadWorker;
        }
        let failures = self.notes.iter().filter(|note| note.job == *job).count();
        FailureVerdict::Retry {
            delay_ms: retry_delay_ms(u32::try_from(failures).unwrap_or(u32::MAX)),
        }
    }

    /// Notes that a task of `job` succeeded on `worker`: what the book holds
    /// against both is forgotten.
    pub fn note_success(&mut self, worker: &WorkerName, job: &JobName) {
        self.notes
            .retain(|note| note.worker != *worker && note.job != *job);
    }

    /// Forgets a job that has ended.
    pub fn forget_job(&mut self, job: &JobName) {
        self.notes.retain(|note| note.job != *job);
    }

    /// How many failures the book holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Whether the book holds no failure.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// The failures on a blamed worker no longer speak against its jobs.
    fn forget_worker(&mut self, worker: &WorkerName) {
        self.notes.retain(|note| note.worker != *worker);
    }

    fn forget_old(&mut self, now: MonoTime) {
        self.notes
            .retain(|note| now.millis_since(note.at) <= WINDOW_MS);
        let surplus = (self.notes.len() + 1).saturating_sub(NOTES_MAX);
        self.notes.drain(..surplus);
    }

    fn workers_failing(&self, job: &JobName) -> Vec<&WorkerName> {
        let notes = self.notes.iter().filter(|note| note.job == *job);
        distinct(notes.map(|note| &note.worker))
    }

    /// Jobs that fail on several workers say nothing about this one.
    fn jobs_failing_only_on(&self, worker: &WorkerName) -> usize {
        let notes = self.notes.iter().filter(|note| note.worker == *worker);
        distinct(notes.map(|note| &note.job))
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
