//! Capacity and queue of one plan.

use crate::owner::TrackedWorker;
use crate::planner::PlanView;
use crate::state::JobProgress;
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
use sapphirestile_placement::CustomerRoom;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::TaskQueue;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::WorkerRoom;
use sapphirestile_placement::WorkerStanding;

/// The capacity and the queue of one plan, collected in one pass over the tasks and
/// updated with each planned start.
pub struct PlanState {
    pub queue: TaskQueue,
    /// Sorted by worker name.
    pub rooms: Vec<WorkerRoom>,
    /// Number of tasks on each worker, in the order of `rooms`.
    pub running: Vec<usize>,
    /// Sorted by customer name.
    pub customers: Vec<CustomerRoom>,
    pub placed: SortedTable<JobName, PlacedTasks>,
}

impl PlanState {
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
            rooms: view
                .workers
                .values()
                .map(|worker| worker_room(worker, view))
                .collect(),
            customers: customers
                .iter()
                .map(|(name, entry)| customer_room(name, entry, shares))
                .collect(),
            placed: SortedTable::new(),
        };
        let mut tasks = view.state.tasks().iter().peekable();
        for (job, record) in view.state.jobs().iter() {
            let mut waiting = Vec::new();
            while let Some((task, entry)) = tasks.next_if(|(task, _)| task.job == *job) {
                match entry {
                    TaskEntry::Waiting(_) => waiting.push(task.index),
                    TaskEntry::Assigned(cycle) => {
                        let phase = cycle.phase();
                        plan.add_running(record, &phase.worker, &phase.size);
                    }
                    TaskEntry::Ended(_) => {}
                }
            }
            let since = |table: &SortedTable<JobName, MonoTime>| {
                table.get(job).copied().unwrap_or_default()
            };
            if !waiting.is_empty() {
                plan.enqueue(waiting, record, since(submitted), since(not_before));
            }
        }
        assert!(
            tasks.next().is_none(),
            "a task of the cell's state belongs to no job of it"
        );
        plan
    }

    /// Excludes workers by their standing and the number of tasks that they run.
    pub fn set_aside_workers(&mut self, standings: &SortedTable<WorkerName, WorkerStanding>) {
        for (room, running) in self.rooms.iter_mut().zip(&self.running) {
            if let Some(standing) = standings.get(&room.name) {
                room.set_aside = !standing.takes_work(*running);
            }
        }
    }

    /// Accounts for a task that is placed on a worker.
    pub fn add_running(&mut self, record: &JobProgress, worker: &WorkerName, size: &ResourceSize) {
        let customer = &record.spec.customer;
        if let Ok(index) = self
            .customers
            .binary_search_by(|room| room.name.cmp(customer))
        {
            let given = &mut self.customers[index].given;
            *given = given.plus(size);
        }
        let Ok(index) = self.rooms.binary_search_by(|room| room.name.cmp(worker)) else {
            return;
        };
        let room = &mut self.rooms[index];
        room.given = room.given.plus(size);
        self.running[index] += 1;
        let job = record.spec.job.clone();
        let placed = self.placed.get_or_insert_with(job, PlacedTasks::default);
        placed.add(&room.rack, &room.zone);
    }

    fn enqueue(
        &mut self,
        tasks: Vec<TaskIndex>,
        record: &JobProgress,
        submitted: MonoTime,
        not_before: MonoTime,
    ) {
        self.queue.add(WaitingJob {
            name: record.spec.job.clone(),
            customer: record.spec.customer.clone(),
            urgent: record.spec.urgent,
            declared: record.spec.size,
            zones: record.spec.zones.clone(),
            submitted,
            not_before,
            tasks,
        });
    }
}

fn worker_room(worker: &TrackedWorker, view: &PlanView<'_>) -> WorkerRoom {
    let facts = &worker.facts;
    let rack = facts
        .rack
        .clone()
        .unwrap_or_else(|| own_rack(&facts.worker));
    let mut room = WorkerRoom::new(facts.worker.clone(), facts.zone.clone(), rack, facts.size);
    let permit = worker.usable_permit(view.now, view.permit_fresh_ms);
    room.zone_out = !facts.takes_work;
    room.leaving = permit.is_none() || !worker.listed;
    room
}

/// A worker without a known rack counts as the only one in its rack.
fn own_rack(worker: &WorkerName) -> RackName {
    RackName::try_from(worker.as_str()).expect("a worker name has the form of a rack name")
}

/// A customer with the share of its quota that is in force in this cell.
fn customer_room(
    name: &CustomerName,
    entry: &CustomerEntry,
    shares: &SortedTable<CustomerName, ResourceSize>,
) -> CustomerRoom {
    CustomerRoom {
        name: name.clone(),
        quota: shares.get(name).copied().unwrap_or_default(),
        given: ResourceSize::default(),
        priority: entry.priority,
    }
}
