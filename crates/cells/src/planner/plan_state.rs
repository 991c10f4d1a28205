//! Capacity and queue of one plan.

use crate::owner::CellWorker;
use crate::planner::PlanView;
use crate::state::ArrayProgress;
use crate::state::TaskEntry;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::CustomerQuota;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::TaskQueue;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::WorkerHealth;

/// The capacity and the queue of one plan, collected in one pass over the tasks and
/// updated with each planned start.
pub struct PlanState {
    /// The jobs with waiting tasks.
    pub queue: TaskQueue,
    /// Sorted by worker name.
    pub candidates: Vec<CandidateWorker>,
    /// Number of tasks on each worker, in the order of `candidates`.
    pub running: Vec<usize>,
    /// Sorted by customer name.
    pub customers: Vec<CustomerQuota>,
    /// The racks and zones of each job's assigned tasks.
    pub placed: SortedTable<JobName, PlacedTasks>,
}

impl PlanState {
    /// Collects the plan of a cell. `shares` are the shares of the customers' quotas that are
    /// in force in it.
    pub fn gather(
        view: &PlanView<'_>,
        customers: &SortedTable<CustomerName, CustomerEntry>,
        shares: &SortedTable<CustomerName, ResourceSize>,
        submitted: &SortedTable<JobName, MonoTime>,
        not_before: &SortedTable<JobName, MonoTime>,
    ) -> Self {
        let mut plan = Self {
            queue: TaskQueue::default(),
            running: vec![0; view.workers.len()],
            candidates: view
                .workers
                .values()
                .map(|worker| candidate_worker(worker, view))
                .collect(),
            customers: customers
                .iter()
                .map(|(name, entry)| customer_quota(name, entry, shares))
                .collect(),
            placed: SortedTable::new(),
        };
        let mut tasks = view.state.tasks().iter().peekable();
        for (job, progress) in view.state.jobs().iter() {
            let mut waiting = Vec::new();
            while let Some((task, entry)) = tasks.next_if(|(task, _)| task.job == *job) {
                match entry {
                    TaskEntry::Waiting(_) => waiting.push(task.index),
                    TaskEntry::Assigned(cycle) => {
                        let phase = cycle.phase();
                        plan.add_running(progress, &phase.worker, &phase.size);
                    }
                    TaskEntry::Ended(_) => {}
                }
            }
            let since = |table: &SortedTable<JobName, MonoTime>| {
                table.get(job).copied().unwrap_or_default()
            };
            if !waiting.is_empty() {
                plan.enqueue(waiting, progress, since(submitted), since(not_before));
            }
        }
        assert!(
            tasks.next().is_none(),
            "a task of the cell's state belongs to no job of it"
        );
        plan
    }

    /// Excludes workers by their health and the number of tasks that they run.
    pub fn block_unhealthy_workers(
        &mut self,
        worker_health: &SortedTable<WorkerName, WorkerHealth>,
    ) {
        for (candidate, running) in self.candidates.iter_mut().zip(&self.running) {
            if let Some(health) = worker_health.get(&candidate.name) {
                candidate.blocked_by_health = !health.takes_work(*running);
            }
        }
    }

    /// Accounts for a task that is placed on a worker.
    pub fn add_running(
        &mut self,
        progress: &ArrayProgress,
        worker: &WorkerName,
        size: &ResourceSize,
    ) {
        let customer = &progress.spec.customer;
        if let Ok(index) = self
            .customers
            .binary_search_by(|quota| quota.name.cmp(customer))
        {
            let allocated = &mut self.customers[index].allocated;
            *allocated = allocated.plus(size);
        }
        let Ok(index) = self
            .candidates
            .binary_search_by(|candidate| candidate.name.cmp(worker))
        else {
            return;
        };
        let candidate = &mut self.candidates[index];
        candidate.allocated = candidate.allocated.plus(size);
        self.running[index] += 1;
        let job = progress.spec.job.clone();
        let placed = self.placed.get_or_insert_with(job, PlacedTasks::default);
        placed.add(&candidate.rack, &candidate.zone);
    }

    fn enqueue(
        &mut self,
        tasks: Vec<TaskIndex>,
        progress: &ArrayProgress,
        submitted: MonoTime,
        not_before: MonoTime,
    ) {
        self.queue.add(WaitingJob {
            name: progress.spec.job.clone(),
            customer: progress.spec.customer.clone(),
            urgent: progress.spec.urgent,
            declared: progress.spec.size,
            zones: progress.spec.zones.clone(),
            submitted,
            not_before,
            tasks,
        });
    }
}

fn candidate_worker(worker: &CellWorker, view: &PlanView<'_>) -> CandidateWorker {
    let facts = &worker.facts;
    let rack = facts
        .rack
        .clone()
        .unwrap_or_else(|| own_rack(&facts.worker));
    let mut candidate =
        CandidateWorker::new(facts.worker.clone(), facts.zone.clone(), rack, facts.size);
    let permit = worker.usable_permit(view.now, view.permit_fresh_ms);
    // Either flag excludes the worker. `takes_work` is also false for a worker that is being
    // removed.
    candidate.zone_out = !facts.takes_work;
    candidate.leaving = permit.is_none() || !worker.listed;
    candidate
}

/// A worker without a known rack counts as the only one in its rack.
fn own_rack(worker: &WorkerName) -> RackName {
    RackName::try_from(worker.as_str()).expect("a worker name has the form of a rack name")
}

/// A customer with the share of its quota that is in force in this cell.
fn customer_quota(
    name: &CustomerName,
    entry: &CustomerEntry,
    shares: &SortedTable<CustomerName, ResourceSize>,
) -> CustomerQuota {
    CustomerQuota {
        name: name.clone(),
        quota: shares.get(name).copied().unwrap_or_default(),
        allocated: ResourceSize::default(),
        priority: entry.priority,
    }
}
