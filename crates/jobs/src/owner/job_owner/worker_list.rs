//! Updates from the list of workers.

use crate::owner::DecisionEvent;
use crate::owner::JobOwner;
use crate::owner::StopCause;
use crate::spec::TaskIdentity;
use crate::worker::TrackedWorker;
use crate::worker::WorkerEntry;
use crate::worker::WorkerEvent;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

impl JobOwner {
    /// Replaces the list of workers, after a time in which changes may have been missed.
    pub fn replace_workers(&mut self, entries: Vec<WorkerEntry>, now: MonoTime) {
        for tracked in self.workers.iter_mut().map(|(_, tracked)| tracked) {
            tracked.is_listed = false;
        }
        for entry in entries {
            self.apply_worker_event(WorkerEvent::Present(entry), now);
        }
    }

    /// Applies a change to the list of workers.
    pub fn apply_worker_event(&mut self, event: WorkerEvent, now: MonoTime) {
        match event {
            WorkerEvent::Present(entry) => self.update_worker(entry, now),
            WorkerEvent::Gone(name) => {
                if let Some(tracked) = self.workers.get_mut(&name) {
                    tracked.is_listed = false;
                }
            }
        }
    }

    fn update_worker(&mut self, entry: WorkerEntry, now: MonoTime) {
        let name = entry.name.clone();
        let is_leaving = entry.is_leaving;
        let restart_leases_end = now.plus_millis(self.limits.lease_bound_ms());
        let tracked = self
            .workers
            .get_or_insert_with(name.clone(), || Box::new(TrackedWorker::new(None, now)));
        if tracked.shows_restart(&entry)
            && let Some(known) = tracked.forget_incarnation(restart_leases_end)
        {
            self.decisions.push(DecisionEvent::WorkerRestarted {
                worker: name.clone(),
                stored_end: known.stored_end(),
                incarnation: entry.incarnation,
            });
        }
        if tracked.shows_restart_of_inherited(&entry) {
            tracked.unknown_leases_end = restart_leases_end;
        }
        tracked.entry = Some(entry);
        tracked.is_listed = true;
        if is_leaving {
            self.drain_worker(&name, now);
        }
    }

    /// Stops the runs that lose nothing by moving to another worker: those with checkpoints,
    /// and long-running ones.
    fn drain_worker(&mut self, name: &WorkerName, now: MonoTime) {
        let Some(tracked) = self.workers.get(name) else {
            return;
        };
        let moving: Vec<TaskIdentity> = tracked
            .runs
            .iter()
            .filter(|(_, run)| (run.is_long_running || run.has_checkpoints) && !run.is_ending())
            .map(|(task, _)| *task)
            .collect();
        for task in moving {
            self.stop_run(name, &task, StopCause::WorkerLeaving, now);
        }
    }
}
