//! The workers of a cell and the sessions with them.

use crate::owner::CellOwner;
use crate::owner::OpenPhase;
use crate::owner::SessionOrder;
use crate::owner::StopOrder;
use crate::owner::WorkerFacts;
use crate::owner::worker_view::WorkerView;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

const SESSION_INTERVAL_MS: u64 = 1_000;
const PERMIT_AGE_MAX_MS: u64 = 3_000;

/// A VM that the list has not shown for this long is gone.
pub const LIST_LAG_MAX_MS: u64 = 30_000;

impl CellOwner<OpenPhase> {
    /// Takes the whole list of the cell's workers, as read at `now`.
    ///
    /// A worker that has tasks but was not listed for [`LIST_LAG_MAX_MS`] is gone:
    /// its tasks run nowhere and wait again.
    pub fn set_workers(&mut self, facts: &[WorkerFacts], now: MonoTime) {
        for (_, view) in self.phase.workers.iter_mut() {
            view.listed = false;
        }
        for fact in facts {
            let fresh = || WorkerView::new(fact.clone());
            let view = self
                .phase
                .workers
                .get_or_insert_with(fact.worker.clone(), fresh);
            view.facts = fact.clone();
            view.listed = true;
        }
        let listed = |worker: &WorkerName| facts.iter().any(|fact| fact.worker == *worker);
        self.phase.unlisted.retain(|worker, _| !listed(worker));
        for worker in self.known_workers() {
            if !listed(&worker) {
                self.phase.unlisted.get_or_insert_with(worker, || now);
            }
        }
        self.remove_gone(now);
    }

    /// Takes note that a worker's VM is gone for good.
    pub fn remove_worker(&mut self, worker: &WorkerName) {
        self.phase.workers.remove(worker.as_str());
        self.phase.unlisted.remove(worker.as_str());
        self.phase.pressure.forget_worker(worker.as_str());
        for (task, cycle) in self.assigned_to(worker.as_str()) {
            if !self.is_withheld(&task) {
                self.return_task(&task, &cycle, 0, false);
            }
        }
    }

    /// The sessions that are due at `now`.
    pub fn due_sessions(&mut self, now: MonoTime) -> Vec<SessionOrder> {
        let epoch = self.state.epoch();
        let mut orders = Vec::new();
        for (worker, view) in self.phase.workers.iter_mut() {
            if !view.session_due(now, SESSION_INTERVAL_MS, PERMIT_AGE_MAX_MS) {
                continue;
            }
            self.phase.sessions += 1;
            view.ordinal = self.phase.sessions;
            view.asking = true;
            view.asked = Some(now);
            view.permit = None;
            let settled = std::mem::take(&mut view.settled);
            orders.push(SessionOrder {
                worker: worker.clone(),
                epoch,
                ordinal: view.ordinal,
                settled,
                known: view.whole.mark(),
            });
        }
        orders
    }

    /// Takes note that a session was not answered: the permit before it may be void.
    pub fn session_lost(&mut self, worker: &str, ordinal: u64) {
        if let Some(view) = self.phase.workers.get_mut(worker)
            && view.ordinal == ordinal
        {
            view.asking = false;
            view.misses = view.misses.saturating_add(1);
        }
    }

    /// Takes note that a start was answered, or that its answer was lost. Which
    /// of both does not matter: the next report tells whether it took effect.
    pub fn start_answered(&mut self, worker: &str) {
        if let Some(view) = self.phase.workers.get_mut(worker) {
            view.starts = view.starts.saturating_sub(1);
        }
    }

    /// Stops that are due; they need no commit.
    pub fn due_stops(&mut self) -> Vec<StopOrder> {
        std::mem::take(&mut self.phase.stops)
    }

    fn remove_gone(&mut self, now: MonoTime) {
        let mut gone = Vec::new();
        for (worker, since) in self.phase.unlisted.iter() {
            if now.millis_since(*since) >= LIST_LAG_MAX_MS {
                gone.push(worker.clone());
            }
        }
        for worker in &gone {
            self.remove_worker(worker);
        }
    }

    /// Every worker that was listed, or that a task is assigned to.
    fn known_workers(&self) -> Vec<WorkerName> {
        let mut known: Vec<WorkerName> = self.phase.workers.keys().cloned().collect();
        known.extend(self.phase.assigned.workers().cloned());
        known.sort();
        known.dedup();
        known
    }
}
