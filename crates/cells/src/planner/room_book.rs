//! The rooms and the queue of one plan.

use crate::owner::WorkerView;
use crate::planner::PlanView;
use crate::state::JobRecord;
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

/// What one plan is made from, gathered in one walk over the tasks.
pub struct RoomBook {
    pub queue: TaskQueue,
    /// In the order of the workers' names.
    pub rooms: Vec<CandidateWorker>,
    /// How many tasks each room holds.
    pub running: Vec<usize>,
    /// In the order of the customers' names.
    pub customers: Vec<CustomerQuota>,
    pub placed: SortedTable<JobName, PlacedTasks>,
}

impl RoomBook {
    pub fn gather(
        view: &PlanView<'_>,
        customers: &SortedTable<CustomerName, CustomerEntry>,
        shares: &SortedTable<CustomerName, ResourceSize>,
        submitted: &SortedTable<JobName, MonoTime>,
        not_before: &SortedTable<JobName, MonoTime>,
    ) -> Self {
        let mut book = Self {
            queue: TaskQueue::default(),
            running: vec![0; view.workers.len()],
            rooms: view
                .workers
                .values()
                .map(|worker| room_of(worker, view))
                .collect(),
            customers: customers
                .iter()
                .map(|(name, entry)| customer_of(name, entry, shares))
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
                        book.occupy(record, &phase.worker, &phase.size);
                    }
                    TaskEntry::Ended(_) => {}
                }
            }
            let since = |table: &SortedTable<JobName, MonoTime>| {
                table.get(job).copied().unwrap_or_default()
            };
            if !waiting.is_empty() {
                book.wait(waiting, record, since(submitted), since(not_before));
            }
        }
        assert!(tasks.next().is_none(), "a task belongs to no job");
        book
    }

    /// Sets workers aside by their standing and by how many tasks they run.
    pub fn judge(&mut self, standings: &SortedTable<WorkerName, WorkerHealth>) {
        for (room, running) in self.rooms.iter_mut().zip(&self.running) {
            if let Some(standing) = standings.get(&room.name) {
                room.blocked_by_health = !standing.takes_work(*running);
            }
        }
    }

    /// Marks a worker that was given a task.
    pub fn occupy(&mut self, record: &JobRecord, worker: &WorkerName, size: &ResourceSize) {
        let customer = &record.order.customer;
        if let Ok(place) = self
            .customers
            .binary_search_by(|room| room.name.cmp(customer))
        {
            let given = &mut self.customers[place].allocated;
            *given = given.plus(size);
        }
        let Ok(place) = self.rooms.binary_search_by(|room| room.name.cmp(worker)) else {
            return;
        };
        let room = &mut self.rooms[place];
        room.allocated = room.allocated.plus(size);
        self.running[place] += 1;
        let job = record.order.job.clone();
        let placed = self.placed.get_or_insert_with(job, PlacedTasks::default);
        placed.add(&room.rack, &room.zone);
    }

    fn wait(
        &mut self,
        tasks: Vec<TaskIndex>,
        record: &JobRecord,
        submitted: MonoTime,
        not_before: MonoTime,
    ) {
        self.queue.add(WaitingJob {
            name: record.order.job.clone(),
            customer: record.order.customer.clone(),
            urgent: record.order.urgent,
            declared: record.order.size,
            zones: record.order.zones.clone(),
            submitted,
            not_before,
            tasks,
        });
    }
}

fn room_of(worker: &WorkerView, view: &PlanView<'_>) -> CandidateWorker {
    let facts = &worker.facts;
    let rack = facts
        .rack
        .clone()
        .unwrap_or_else(|| rack_of_its_own(&facts.worker));
    let mut room = CandidateWorker::new(facts.worker.clone(), facts.zone.clone(), rack, facts.size);
    let permit = worker.usable_permit(view.now, view.permit_fresh_ms);
    room.zone_out = !facts.takes_work;
    room.leaving = permit.is_none() || !worker.listed;
    room
}

/// A worker without a rack shares none.
fn rack_of_its_own(worker: &WorkerName) -> RackName {
    RackName::try_from(worker.as_str()).expect("names of workers and racks have one form")
}

/// A customer with the share of its quota that is in force in this cell.
fn customer_of(
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
