//! Follows the list of workers.

use crate::order::TaskAddress;
use crate::owner::JobOwner;
use crate::worker::WorkerEntry;
use crate::worker::WorkerEvent;
use crate::worker::WorkerView;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

impl JobOwner {
    /// Takes the whole list, as it is after a time in which changes were missed.
    pub fn replace_list(&mut self, entries: Vec<WorkerEntry>, now: MonoTime) {
        for view in self.workers.iter_mut().map(|(_, view)| view) {
            view.is_listed = false;
        }
        for entry in entries {
            self.change_list(WorkerEvent::Present(entry), now);
        }
    }

    /// Takes a change of the list of workers.
    pub fn change_list(&mut self, event: WorkerEvent, now: MonoTime) {
        match event {
            WorkerEvent::Present(entry) => self.list_worker(entry, now),
            WorkerEvent::Gone(name) => {
                if let Some(view) = self.workers.get_mut(&name) {
                    view.is_listed = false;
                }
            }
        }
    }

    fn list_worker(&mut self, entry: WorkerEntry, now: MonoTime) {
        let name = entry.name.clone();
        let is_leaving = entry.is_leaving;
        let view = self
            .workers
            .get_or_insert_with(name.clone(), || Box::new(WorkerView::new(None, now)));
        view.entry = Some(entry);
        view.is_listed = true;
        if is_leaving {
            self.leave_worker(&name, now);
        }
    }

    /// Has the runs go elsewhere that lose nothing by it: those that saved their
    /// progress, and those that would never end.
    fn leave_worker(&mut self, name: &WorkerName, now: MonoTime) {
        let Some(view) = self.workers.get(name) else {
            return;
        };
        let moving: Vec<TaskAddress> = view
            .runs
            .iter()
            .filter(|(_, run)| (run.is_lasting || run.saves_progress) && !run.is_ending())
            .map(|(task, _)| *task)
            .collect();
        for task in moving {
            self.stop_run(name, &task, now);
        }
    }
}
