//! Index of assigned tasks by worker.

use crate::state::CellState;
use crate::state::TaskEntry;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// The assigned tasks by worker, kept in addition to the state so that a report is
/// compared only with the tasks of its worker.
#[derive(Clone, Debug, Default)]
pub struct AssignmentIndex {
    /// No list is empty, and each is sorted.
    tasks_by_worker: SortedTable<WorkerName, Vec<TaskName>>,
}

impl AssignmentIndex {
    /// Builds the index of a state.
    pub fn of(state: &CellState) -> Self {
        let mut index = Self::default();
        for (task, entry) in state.tasks().iter() {
            if let TaskEntry::Assigned(cycle) = entry {
                index.add(&cycle.phase().worker, task);
            }
        }
        index
    }

    /// Adds an assignment.
    pub fn add(&mut self, worker: &WorkerName, task: &TaskName) {
        let tasks = self
            .tasks_by_worker
            .get_or_insert_with(worker.clone(), Vec::new);
        if let Err(index) = tasks.binary_search(task) {
            tasks.insert(index, task.clone());
        }
    }

    /// Removes an assignment.
    pub fn remove(&mut self, worker: &WorkerName, task: &TaskName) {
        let Some(tasks) = self.tasks_by_worker.get_mut(worker) else {
            return;
        };
        if let Ok(index) = tasks.binary_search(task) {
            tasks.remove(index);
        }
        if tasks.is_empty() {
            self.tasks_by_worker.remove(worker);
        }
    }

    /// The tasks assigned to a worker, sorted.
    pub fn tasks_of(&self, worker: &str) -> &[TaskName] {
        self.tasks_by_worker.get(worker).map_or(&[], Vec::as_slice)
    }

    /// The workers that have tasks, sorted.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerName> {
        self.tasks_by_worker.keys()
    }
}
