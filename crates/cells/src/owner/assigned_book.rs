//! Which tasks are assigned to which worker.

use crate::state::CellState;
use crate::state::TaskEntry;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// The assigned tasks by worker, kept beside the state so that a report is
/// compared with the tasks of its worker alone.
#[derive(Clone, Debug, Default)]
pub struct AssignedBook {
    /// No row is empty, and the tasks of each are in order.
    rows: SortedTable<WorkerName, Vec<TaskName>>,
}

impl AssignedBook {
    /// The book of a state.
    pub fn of(state: &CellState) -> Self {
        let mut book = Self::default();
        for (task, entry) in state.tasks().iter() {
            if let TaskEntry::Assigned(cycle) = entry {
                book.add(&cycle.phase().worker, task);
            }
        }
        book
    }

    /// Notes an assignment.
    pub fn add(&mut self, worker: &WorkerName, task: &TaskName) {
        let row = self.rows.get_or_insert_with(worker.clone(), Vec::new);
        if let Err(place) = row.binary_search(task) {
            row.insert(place, task.clone());
        }
    }

    /// Notes the end of an assignment.
    pub fn remove(&mut self, worker: &WorkerName, task: &TaskName) {
        let Some(row) = self.rows.get_mut(worker) else {
            return;
        };
        if let Ok(place) = row.binary_search(task) {
            row.remove(place);
        }
        if row.is_empty() {
            self.rows.remove(worker);
        }
    }

    /// The tasks of a worker, in order.
    pub fn tasks_of(&self, worker: &str) -> &[TaskName] {
        self.rows.get(worker).map_or(&[], Vec::as_slice)
    }

    /// The workers that have tasks, in order.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerName> {
        self.rows.keys()
    }
}
