//! Planning and proposing of starts.

use crate::journal::CellTransition;
use crate::map::CellMap;
use crate::owner::AttemptStart;
use crate::owner::AttemptStop;
use crate::owner::CellOwner;
use crate::owner::OwningPhase;
use crate::planner::EvictionRequest;
use crate::planner::PlanView;
use crate::planner::PlannedStart;
use crate::state::TaskEntry;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// No start is committed with a permit older than this: the permit may expire before the
/// start reaches the worker.
const PERMIT_FRESH_MS: u64 = 1_500;

impl CellOwner<OwningPhase> {
    /// Sets the customers with their whole quotas. Without [`CellOwner::set_cells`], this
    /// cell has each quota to itself.
    pub fn set_customers(&mut self, customers: &SortedTable<CustomerName, CustomerEntry>) {
        self.phase.shares.customers = customers.clone();
        self.phase.planner.set_customers(customers);
    }

    /// Sets the cells between which shares of quotas are lent.
    pub const fn set_cells(&mut self, map: CellMap) {
        self.phase.shares.map = Some(map);
    }

    /// Assigns at most `limit` waiting tasks to workers.
    pub fn plan_starts(&mut self, now: MonoTime, limit: usize) {
        self.phase.shares.unmet.expire(now);
        let shares = self.shares_in_force(now);
        self.phase.planner.set_shares(shares);
        let view = PlanView {
            state: &self.state,
            workers: &self.phase.workers,
            stopping: &self.phase.stopping,
            now,
            permit_fresh_ms: PERMIT_FRESH_MS,
            limit,
        };
        let starts = self.phase.planner.plan(&view);
        for planned in &starts {
            self.assign(planned, now);
        }
        self.record_demands(&starts, now);
        for request in self.phase.planner.take_evictions() {
            self.evict(&request);
        }
    }

    /// Why the waiting tasks of a job were not started by the latest plan; `None` when they
    /// were, or when the job has no waiting tasks.
    #[must_use]
    pub fn waiting_reason(&self, job: &JobName) -> Option<&str> {
        self.phase.planner.reason(job)
    }

    /// Asks a task to take a checkpoint and stop, for urgent work or for services. The
    /// request is repeated with each report that shows it running.
    pub(super) fn evict(&mut self, request: &EvictionRequest) {
        let Some(phase) = self.assigned_phase(&request.task) else {
            return;
        };
        let attempt = phase.attempt;
        let text = format!("attempt {attempt} {}", request.reason);
        self.phase
            .log
            .push(self.last_proposed(), &request.task, text);
        self.phase.evictions += 1;
        self.phase.stopping.insert(request.task.clone(), attempt);
        self.phase.stops.push(AttemptStop {
            worker: request.worker.clone(),
            epoch: self.state.epoch(),
            task: request.task.clone(),
            attempt,
            checkpoint: true,
        });
    }

    fn assign(&mut self, planned: &PlannedStart, now: MonoTime) {
        let Some(start) = self.attempt_start(planned, now) else {
            return;
        };
        self.propose_checked(CellTransition::TaskAssigned {
            task: start.task.clone(),
            attempt: start.attempt,
            worker: start.worker.clone(),
            size: start.size,
        });
        let entry = self.last_proposed();
        let reason = format!("why {}: {}", start.worker, planned.reason);
        self.phase.log.push(entry, &start.task, reason);
        if let Some(tracked) = self.phase.workers.get_mut(&start.worker) {
            tracked.starts += 1;
        }
        self.phase.withheld.push(start);
    }

    fn attempt_start(&self, planned: &PlannedStart, now: MonoTime) -> Option<AttemptStart> {
        let Some(TaskEntry::Waiting(cycle)) = self.state.tasks().get(&planned.task) else {
            return None;
        };
        let job = self.state.jobs().get(&planned.task.job)?;
        let tracked = self.phase.workers.get(&planned.worker)?;
        Some(AttemptStart {
            worker: planned.worker.clone(),
            epoch: self.state.epoch(),
            permit: tracked.usable_permit(now, PERMIT_FRESH_MS)?,
            task: planned.task.clone(),
            attempt: cycle.phase().attempt.next(),
            size: planned.size,
            run_ms: job.spec.run_ms,
            checkpoint_ms: cycle.phase().checkpoint_ms,
        })
    }
}
