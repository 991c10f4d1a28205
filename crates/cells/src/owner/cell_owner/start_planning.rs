//! Which tasks an owner starts, and where.

use crate::journal::CellTransition;
use crate::map::CellMap;
use crate::owner::CellOwner;
use crate::owner::OpenPhase;
use crate::owner::StartOrder;
use crate::owner::StopOrder;
use crate::planner::EvictionOrder;
use crate::planner::PlanView;
use crate::planner::PlannedStart;
use crate::state::TaskEntry;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

const PERMIT_FRESH_MS: u64 = 1_500;

impl CellOwner<OpenPhase> {
    /// Takes the customers with their whole quotas. An owner that was told of no
    /// other cells has all of each to itself.
    pub fn set_customers(&mut self, customers: &SortedTable<CustomerName, CustomerEntry>) {
        self.phase.shares.customers = customers.clone();
        self.phase.planner.set_customers(customers);
    }

    /// Takes the cells that shares of quotas are lent among.
    pub const fn set_cells(&mut self, map: CellMap) {
        self.phase.shares.map = Some(map);
    }

    /// Assigns waiting tasks to workers, at most `limit`.
    pub fn plan_starts(&mut self, now: MonoTime, limit: usize) {
        self.phase.shares.lender.pass_time(now);
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
        self.note_wants(&starts, now);
        for order in self.phase.planner.take_evictions() {
            self.evict(&order);
        }
    }

    /// Why the waiting tasks of a job were not started by the latest plan.
    #[must_use]
    pub fn waiting_reason(&self, job: &JobName) -> Option<&str> {
        self.phase.planner.reason(job)
    }

    /// Asks a task to stop with a checkpoint, for the sake of urgent work or of
    /// services. It is asked again with each report that shows it running.
    pub(super) fn evict(&mut self, order: &EvictionOrder) {
        let Some(phase) = self.assigned_phase(&order.task) else {
            return;
        };
        let attempt = phase.attempt;
        let text = format!("attempt {attempt} {}", order.reason);
        self.phase.log.note(self.last_proposed(), &order.task, text);
        self.phase.evictions += 1;
        self.phase.stopping.insert(order.task.clone(), attempt);
        self.phase.stops.push(StopOrder {
            worker: order.worker.clone(),
            epoch: self.state.epoch(),
            task: order.task.clone(),
            attempt,
            checkpoint: true,
        });
    }

    fn assign(&mut self, planned: &PlannedStart, now: MonoTime) {
        let Some(start) = self.start_order(planned, now) else {
            return;
        };
        self.propose_sure(CellTransition::TaskAssigned {
            task: start.task.clone(),
            attempt: start.attempt,
            worker: start.worker.clone(),
            size: start.size,
        });
        let entry = self.last_proposed();
        let reason = format!("why {}: {}", start.worker, planned.reason);
        self.phase.log.note(entry, &start.task, reason);
        if let Some(view) = self.phase.workers.get_mut(&start.worker) {
            view.starts += 1;
        }
        self.phase.withheld.push(start);
    }

    fn start_order(&self, planned: &PlannedStart, now: MonoTime) -> Option<StartOrder> {
        let Some(TaskEntry::Waiting(cycle)) = self.state.tasks().get(&planned.task) else {
            return None;
        };
        let job = self.state.jobs().get(&planned.task.job)?;
        let view = self.phase.workers.get(&planned.worker)?;
        Some(StartOrder {
            worker: planned.worker.clone(),
            epoch: self.state.epoch(),
            permit: view.usable_permit(now, PERMIT_FRESH_MS)?,
            task: planned.task.clone(),
            attempt: cycle.phase().attempt.next(),
            size: planned.size,
            run_ms: job.order.run_ms,
            checkpoint_ms: cycle.phase().checkpoint_ms,
        })
    }
}
