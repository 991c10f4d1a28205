//! Workers of a cell and sessions with them.

use crate::owner::AttemptStop;
use crate::owner::CellOwner;
use crate::owner::OwningPhase;
use crate::owner::SessionRenewal;
use crate::owner::WorkerFacts;
use crate::owner::cell_worker::CellWorker;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

const SESSION_INTERVAL_MS: u64 = 1_000;
/// A worker accepts a permit for this long after it gave the permit.
const PERMIT_AGE_MAX_MS: u64 = 3_000;

/// A worker that is missing from the VM list for this long counts as gone.
pub const LIST_LAG_MAX_MS: u64 = 30_000;

impl CellOwner<OwningPhase> {
    /// Sets the complete list of the cell's workers, as read at `now`.
    ///
    /// A worker that was not listed for [`LIST_LAG_MAX_MS`] is gone: its tasks run nowhere
    /// and wait again.
    pub fn set_workers(&mut self, facts: &[WorkerFacts], now: MonoTime) {
        for (_, tracked) in self.phase.workers.iter_mut() {
            tracked.listed = false;
        }
        for fact in facts {
            let fresh = || CellWorker::new(fact.clone());
            let tracked = self
                .phase
                .workers
                .get_or_insert_with(fact.worker.clone(), fresh);
            tracked.facts = fact.clone();
            tracked.listed = true;
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

    /// Removes a worker whose VM is permanently gone, and returns its tasks to the queue.
    pub fn remove_worker(&mut self, worker: &WorkerName) {
        self.phase.workers.remove(worker.as_str());
        self.phase.unlisted.remove(worker.as_str());
        self.phase.pressure.forget_worker(worker.as_str());
        for (task, phase) in self.assigned_to(worker.as_str()) {
            if !self.is_withheld(&task) {
                self.return_task(&task, &phase, 0, false);
            }
        }
    }

    /// Takes the sessions that are due at `now`.
    pub fn due_sessions(&mut self, now: MonoTime) -> Vec<SessionRenewal> {
        let epoch = self.state.epoch();
        let mut renewals = Vec::new();
        for (worker, tracked) in self.phase.workers.iter_mut() {
            if !tracked.session_due(now, SESSION_INTERVAL_MS, PERMIT_AGE_MAX_MS) {
                continue;
            }
            self.phase.sessions += 1;
            tracked.ordinal = self.phase.sessions;
            tracked.awaiting_answer = true;
            tracked.asked = Some(now);
            tracked.permit = None;
            let settled = std::mem::take(&mut tracked.settled);
            renewals.push(SessionRenewal {
                worker: worker.clone(),
                epoch,
                ordinal: tracked.ordinal,
                settled,
                known: tracked.full_report.mark(),
            });
        }
        renewals
    }

    /// Records that a session got no answer. The worker may still have handled it, which
    /// invalidates the previous permit.
    pub fn session_lost(&mut self, worker: &str, ordinal: u64) {
        if let Some(tracked) = self.phase.workers.get_mut(worker)
            && tracked.ordinal == ordinal
        {
            tracked.awaiting_answer = false;
            tracked.misses = tracked.misses.saturating_add(1);
        }
    }

    /// Records that a start was answered or its answer was lost. The next report shows in
    /// both cases whether it took effect.
    pub fn start_answered(&mut self, worker: &str) {
        if let Some(tracked) = self.phase.workers.get_mut(worker) {
            tracked.starts = tracked.starts.saturating_sub(1);
        }
    }

    /// Takes the stop requests that are due; they need no commit.
    pub fn due_stops(&mut self) -> Vec<AttemptStop> {
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

    /// All workers that were listed or have an assigned task.
    fn known_workers(&self) -> Vec<WorkerName> {
        let mut known: Vec<WorkerName> = self.phase.workers.keys().cloned().collect();
        known.extend(self.phase.assigned.workers().cloned());
        known.sort();
        known.dedup();
        known
    }
}
