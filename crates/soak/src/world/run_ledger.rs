//! What was promised and what ran.

use crate::JobTries;
use sapphirestile_cells::CellState;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// What was promised to callers, assigned in journals, and begun by workers.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    /// The jobs, by name.
    pub jobs: SortedTable<JobName, JobTries>,
    /// How often the holder of a key's record sent the request.
    pub sent: SortedTable<RequestKey, u32>,
    /// How many attempts began.
    pub starts: u64,
    /// How many entries were written.
    pub entries: u64,
    assigned: SortedTable<TaskName, AttemptNumber>,
    ended: SortedTable<TaskName, AttemptNumber>,
    begun: SortedTable<(TaskName, AttemptNumber), WorkerName>,
}

impl RunLedger {
    /// Notes an assignment.
    ///
    /// # Errors
    ///
    /// When the task has ended, or had this attempt or a later one.
    pub fn note_assigned(&mut self, task: &TaskName, attempt: AttemptNumber) -> Result<(), String> {
        if self.ended.contains(task) {
            return Err(format!("{task} was assigned after its end"));
        }
        let before = self.assigned.insert(task.clone(), attempt);
        if before.is_some_and(|before| before >= attempt) {
            return Err(format!("attempt {attempt} of {task} is not a later one"));
        }
        Ok(())
    }

    /// Notes that a task has ended.
    ///
    /// # Errors
    ///
    /// When it had ended before.
    pub fn note_ended(&mut self, task: &TaskName, attempt: AttemptNumber) -> Result<(), String> {
        match self.ended.insert(task.clone(), attempt) {
            Some(_) => Err(format!("{task} ended twice")),
            None => Ok(()),
        }
    }

    /// Notes that an attempt began on a worker.
    ///
    /// # Errors
    ///
    /// When the attempt, and with it its checkpoint, was taken up before.
    pub fn note_begun(
        &mut self,
        task: &TaskName,
        attempt: AttemptNumber,
        worker: &WorkerName,
    ) -> Result<(), String> {
        self.starts += 1;
        let key = (task.clone(), attempt);
        match self.begun.insert(key, worker.clone()) {
            Some(before) => Err(format!(
                "attempt {attempt} of {task} began on {before} and on {worker}"
            )),
            None => Ok(()),
        }
    }

    /// Notes that the holder of a key's record sends the request.
    ///
    /// # Errors
    ///
    /// When it was sent before.
    pub fn note_sent(&mut self, key: &RequestKey) -> Result<(), String> {
        let count = self.sent.get_or_insert_with(key.clone(), || 0);
        *count += 1;
        if *count > 1 {
            return Err(format!("{} was sent twice", key.as_str()));
        }
        Ok(())
    }

    /// Checks a cell's journal against what callers were told.
    ///
    /// # Errors
    ///
    /// When a caller was told what is not so.
    pub fn check_promises(&self, state: &CellState, tries: &JobTries) -> Result<(), String> {
        let job = &tries.order.job;
        let known = state.jobs().contains(job);
        if known && tries.all_refused() {
            return Err(format!("{job} is in the journal after the answer not run"));
        }
        if !known && tries.any_done() {
            return Err(format!("{job} has disappeared after the answer done"));
        }
        Ok(())
    }
}
