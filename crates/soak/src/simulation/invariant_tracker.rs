//! Checks over the whole run.

use crate::JobSubmissions;
use sapphirestile_cells::CellState;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// Records what callers were told, what the journals assigned and what workers started, and
/// checks that these agree.
#[derive(Clone, Debug, Default)]
pub struct InvariantTracker {
    /// The submissions of every job, by job name.
    pub jobs: SortedTable<JobName, JobSubmissions>,
    /// How often a request was sent under its key's record; at most once is allowed.
    pub sent_counts: SortedTable<RequestKey, u32>,
    /// Number of attempts that workers started.
    pub attempts_started: u64,
    /// Number of entries written to the journals of all cells.
    pub entries_written: u64,
    assigned: SortedTable<TaskName, AttemptNumber>,
    ended: SortedTable<TaskName, AttemptNumber>,
    started: SortedTable<(TaskName, AttemptNumber), WorkerName>,
}

impl InvariantTracker {
    /// Records that a journal entry assigned an attempt.
    ///
    /// # Errors
    ///
    /// When the task has ended, or this or a later attempt was assigned before.
    pub fn record_assignment(
        &mut self,
        task: &TaskName,
        attempt: AttemptNumber,
    ) -> Result<(), String> {
        if self.ended.contains(task) {
            return Err(format!(
                "attempt {attempt} of {task} was assigned after the task had ended"
            ));
        }
        let before = self.assigned.insert(task.clone(), attempt);
        if before.is_some_and(|before| before >= attempt) {
            return Err(format!(
                "attempt {attempt} of {task} was assigned, but this or a later attempt \
                 was assigned before"
            ));
        }
        Ok(())
    }

    /// Records that a journal entry ended a task.
    ///
    /// # Errors
    ///
    /// When an earlier entry ended the task.
    pub fn record_end(&mut self, task: &TaskName, attempt: AttemptNumber) -> Result<(), String> {
        match self.ended.insert(task.clone(), attempt) {
            Some(_) => Err(format!(
                "the journal ended {task} twice, now with attempt {attempt}"
            )),
            None => Ok(()),
        }
    }

    /// Records that a worker started an attempt.
    ///
    /// # Errors
    ///
    /// When the attempt was started before, so that its checkpoint would be resumed twice.
    pub fn record_start(
        &mut self,
        task: &TaskName,
        attempt: AttemptNumber,
        worker: &WorkerName,
    ) -> Result<(), String> {
        self.attempts_started += 1;
        let key = (task.clone(), attempt);
        match self.started.insert(key, worker.clone()) {
            Some(before) => Err(format!(
                "attempt {attempt} of {task} was started on {before} and again on {worker}"
            )),
            None => Ok(()),
        }
    }

    /// Records that the holder of a key's record sent the request.
    ///
    /// # Errors
    ///
    /// When the request was sent before under the same key.
    pub fn record_sent(&mut self, key: &RequestKey) -> Result<(), String> {
        let count = self.sent_counts.get_or_insert_with(key.clone(), || 0);
        *count += 1;
        if *count > 1 {
            return Err(format!(
                "the request with key {} was sent more than once",
                key.as_str()
            ));
        }
        Ok(())
    }

    /// Compares the journal with what callers were told about one job.
    ///
    /// # Errors
    ///
    /// When the job is in the journal although every submission was answered as not run, or is
    /// missing although one was answered as done.
    pub fn check_submissions(
        &self,
        state: &CellState,
        submissions: &JobSubmissions,
    ) -> Result<(), String> {
        let job = &submissions.spec.job;
        let known = state.jobs().contains(job);
        if known && submissions.all_not_run() {
            return Err(format!(
                "{job} is in the journal, but every submission was answered as not run"
            ));
        }
        if !known && submissions.any_accepted() {
            return Err(format!(
                "{job} is not in the journal, but a submission was answered as done"
            ));
        }
        Ok(())
    }
}
