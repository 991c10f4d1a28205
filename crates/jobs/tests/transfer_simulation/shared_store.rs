//! The rows of all cells.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobTransfer;
use sapphirestile_jobs::TaskIdentity;
use sapphirestile_jobs::TaskStage;
use sapphirestile_jobs::TaskTransfer;

use crate::cell_rows::CellRows;
use crate::store_commit::StoreCommit;

/// The rows of all cells. A commit of an owner is refused once another one has claimed.
#[derive(Debug, Default)]
pub struct SharedStore {
    pub cells: Vec<CellRows>,
    /// Number of tasks that were delegated so far.
    pub delegations: usize,
}

impl SharedStore {
    /// Stores a commit of the owner that last wrote `version` of the head row. `None` if
    /// another owner has written it since, false if a job was cancelled meanwhile.
    pub fn commit(&mut self, cell: usize, version: u64, commit: &StoreCommit) -> Option<bool> {
        if self.cells[cell].version != version {
            return None;
        }
        let is_stored = match commit {
            StoreCommit::Revocations(batch) => {
                for (job, other) in &batch.revoked {
                    self.cells[usize::from(other.get())].cancelled.insert(*job);
                }
                true
            }
            StoreCommit::Rows(batch) => {
                self.write_rows(cell, batch);
                true
            }
            StoreCommit::Transfer(transfer) => self.write_transfer(cell, transfer),
        };
        // A commit that is refused for a cancellation writes nothing, the head row neither.
        if is_stored {
            self.cells[cell].version += 1;
        }
        self.check_places();
        Some(is_stored)
    }

    fn write_rows(&mut self, cell: usize, batch: &CommitBatch) {
        let rows = &mut self.cells[cell];
        rows.lease_bounds = batch.lease_bounds.clone();
        if batch.load.is_some() {
            rows.vacancies.clone_from(&batch.vacancies);
            rows.restarts.clone_from(&batch.restarts);
            rows.late_restarts.clone_from(&batch.late_restarts);
            rows.idle_tasks.clone_from(&batch.idle_tasks);
        }
        if batch.learnt.is_some() {
            rows.learnt.clone_from(&batch.learnt);
        }
        rows.progress.extend(batch.progress.iter().cloned());
        rows.guests.extend(batch.guests.iter().cloned());
        for key in &batch.absorbed {
            rows.returned.remove(key);
        }
    }

    fn write_transfer(&mut self, cell: usize, transfer: &JobTransfer) -> bool {
        let rows = &mut self.cells[cell];
        if rows.cancelled.contains(&transfer.job) {
            return false;
        }
        let records = match transfer.place {
            JobPlace::Home => &mut rows.progress,
            JobPlace::Guest { .. } => &mut rows.guests,
        };
        match &transfer.progress {
            Some(progress) => records.insert(transfer.job, progress.clone()),
            None => records.remove(&transfer.job),
        };
        for transfer in &transfer.transfers {
            let target = usize::from(transfer.target().get());
            let key = (transfer.task(), transfer.run());
            match transfer {
                TaskTransfer::Delegate { delegated, .. } => {
                    self.cells[target].delegated.insert(key, delegated.clone());
                    self.delegations += 1;
                }
                TaskTransfer::Return {
                    returned,
                    received_run,
                    ..
                } => {
                    self.cells[target].returned.insert(key, returned.clone());
                    let received = (returned.task, *received_run);
                    let removed = self.cells[cell].delegated.remove(&received);
                    assert!(removed.is_some(), "{} was not here", returned.task);
                }
            }
        }
        true
    }

    /// Checks that each task of a job that has begun is in one cell exactly.
    fn check_places(&self) {
        for (home, rows) in self.cells.iter().enumerate() {
            for (job, progress) in &rows.progress {
                if progress.standing.is_final() || rows.cancelled.contains(job) {
                    continue;
                }
                let spec = &rows.specs[job];
                for index in 0..spec.steps[0].tasks {
                    let task = TaskIdentity {
                        job: *job,
                        occurrence: 0,
                        step: 0,
                        index,
                    };
                    let places = self.places_of(home, &task);
                    assert_eq!(places.len(), 1, "{task} of cell {home} is in {places:?}");
                }
            }
        }
    }

    /// Cells that may start the task: its home, those with its row, and again its home if it
    /// has come back and that is not recorded.
    fn places_of(&self, home: usize, task: &TaskIdentity) -> Vec<CellNumber> {
        let number = |cell: usize| CellNumber::new(u16::try_from(cell).unwrap());
        let progress = self.cells[home].progress[&task.job].task(task);
        let progress = progress.expect("the occurrence has begun");
        let mut places = Vec::new();
        if !matches!(progress.stage, TaskStage::Elsewhere(_)) {
            places.push(number(home));
        }
        let returned = self.cells[home].returned.keys();
        let mut returned = returned.filter(|(other, run)| other == task && *run > progress.run);
        places.extend(returned.next().map(|_| number(home)));
        for (cell, rows) in self.cells.iter().enumerate() {
            let of_task = rows.delegated.keys().filter(|(other, _)| other == task);
            places.extend(of_task.map(|_| number(cell)));
        }
        places
    }
}
