//! Which tasks an owner starts, and where.

use crate::journal::CellTransition;
use crate::owner::CellOwner;
use crate::owner::OpenPhase;
use crate::owner::StartOrder;
use crate::owner::worker_choice::choose_worker;
use crate::owner::worker_view::WorkerView;
use crate::state::TaskEntry;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

const PERMIT_FRESH_MS: u64 = 1_500;

impl CellOwner<OpenPhase> {
    /// Assigns waiting tasks to workers, at most `limit`, urgent ones first.
    pub fn plan_starts(&mut self, now: MonoTime, limit: usize) {
        let mut waiting = self.waiting_tasks();
        waiting.truncate(limit);
        let mut given = self.given_room();
        for task in &waiting {
            self.plan_start(task, now, &mut given);
        }
    }

    fn plan_start(
        &mut self,
        task: &TaskName,
        now: MonoTime,
        given: &mut SortedTable<WorkerName, ResourceSize>,
    ) {
        let Some(TaskEntry::Waiting(cycle)) = self.state.tasks().get(task) else {
            return;
        };
        let Some(job) = self.state.jobs().get(&task.job) else {
            return;
        };
        let usable = |view: &WorkerView| view.usable_permit(now, PERMIT_FRESH_MS).is_some();
        let Some(view) = choose_worker(&self.phase.workers, given, &job.order, usable) else {
            return;
        };
        let Some(permit) = view.usable_permit(now, PERMIT_FRESH_MS) else {
            return;
        };
        let start = StartOrder {
            worker: view.facts.worker.clone(),
            epoch: self.state.epoch(),
            permit,
            task: task.clone(),
            attempt: cycle.phase().attempt.next(),
            size: job.order.size,
            run_ms: job.order.run_ms,
            checkpoint_ms: cycle.phase().checkpoint_ms,
        };
        let taken = given.get_or_insert_with(start.worker.clone(), ResourceSize::default);
        *taken = taken.plus(&start.size);
        assert!(
            taken.fits_in(&view.facts.size),
            "a worker was given more than its room"
        );
        self.assign(start);
    }

    fn assign(&mut self, start: StartOrder) {
        self.propose_sure(CellTransition::TaskAssigned {
            task: start.task.clone(),
            attempt: start.attempt,
            worker: start.worker.clone(),
        });
        if let Some(view) = self.phase.workers.get_mut(start.worker.as_str()) {
            view.starts += 1;
        }
        self.phase.withheld.push(start);
    }

    fn waiting_tasks(&self) -> Vec<TaskName> {
        let mut waiting = Vec::new();
        for (task, entry) in self.state.tasks().iter() {
            if matches!(entry, TaskEntry::Waiting(_)) {
                let urgent = self
                    .state
                    .jobs()
                    .get(&task.job)
                    .is_some_and(|job| job.order.urgent);
                waiting.push((!urgent, task.clone()));
            }
        }
        waiting.sort();
        waiting.into_iter().map(|(_, task)| task).collect()
    }

    fn given_room(&self) -> SortedTable<WorkerName, ResourceSize> {
        let mut given = SortedTable::new();
        for (task, entry) in self.state.tasks().iter() {
            if let TaskEntry::Assigned(cycle) = entry
                && let Some(job) = self.state.jobs().get(&task.job)
            {
                let worker = cycle.phase().worker.clone();
                let taken = given.get_or_insert_with(worker, ResourceSize::default);
                *taken = taken.plus(&job.order.size);
            }
        }
        given
    }
}
