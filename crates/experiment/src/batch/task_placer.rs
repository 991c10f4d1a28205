//! Starts tasks.

use crate::DeploymentPlan;
use crate::PolicyFeature;
use crate::PolicySet;
use crate::batch::BatchWorld;
use crate::batch::baseline_choice::BaselineChoice;
use crate::batch::hold_keeper::HoldKeeper;
use crate::batch::owner_setup::customer_mut;
use crate::batch::owner_setup::customers_of;
use crate::batch::owner_setup::room_of;
use crate::batch::run_record::RunRecord;
use crate::batch::task_assignment::TaskAssignment;
use crate::batch::task_book::TaskBook;
use crate::plan::JobTruth;
use crate::plan::WORKER_COUNT;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskIndex;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::CustomerQuota;
use sapphirestile_placement::EstimatePolicy;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementPolicy;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::QueuePass;
use sapphirestile_placement::RunningTask;
use sapphirestile_placement::SizeEstimator;
use sapphirestile_placement::SlowdownModel;
use sapphirestile_placement::TaskQueue;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::choose_worker;

/// The queue, the rooms and what is assigned where.
pub(crate) struct TaskPlacer<'a> {
    jobs: &'a [JobTruth],
    policy: &'a PolicySet,
    room_policy: PlacementPolicy,
    estimate_policy: EstimatePolicy,
    tasks: TaskBook,
    holds: HoldKeeper,
    whole: ResourceSize,
    customers: Vec<CustomerQuota>,
    placed: Vec<PlacedTasks>,
    choice: BaselineChoice,
    pub(crate) queue: TaskQueue,
    pub(crate) rooms: Vec<CandidateWorker>,
    pub(crate) sizes: SizeEstimator,
    pub(crate) runs: Vec<RunRecord>,
    pub(crate) assigned: Vec<Option<TaskAssignment>>,
    /// When each task was first started.
    pub(crate) begun: Vec<Option<MonoTime>>,
    pub(crate) answered: u64,
    /// How long urgent tasks waited for their first start, in milliseconds.
    pub(crate) urgent_waits: Vec<u64>,
}

impl<'a> TaskPlacer<'a> {
    /// Empty workers and an empty queue.
    pub(crate) fn new(
        plan: &DeploymentPlan,
        jobs: &'a [JobTruth],
        policy: &'a PolicySet,
        seed: u64,
    ) -> Self {
        let tasks = TaskBook::new(jobs);
        let rooms = (0..WORKER_COUNT).map(|worker| room_of(plan, worker));
        let rooms = rooms.collect::<Vec<_>>();
        let whole = rooms
            .iter()
            .fold(ResourceSize::default(), |sum, room| sum.plus(&room.size));
        let measured = policy.has(PolicyFeature::MeasuredSizes);
        Self {
            jobs,
            policy,
            room_policy: PlacementPolicy::default(),
            estimate_policy: if measured {
                EstimatePolicy::default()
            } else {
                EstimatePolicy::as_declared()
            },
            holds: HoldKeeper::new(policy),
            whole,
            customers: customers_of(&whole),
            placed: vec![PlacedTasks::default(); jobs.len()],
            choice: BaselineChoice::new(policy.placement, seed),
            queue: TaskQueue::default(),
            rooms,
            sizes: SizeEstimator::default(),
            runs: vec![RunRecord::default(); jobs.len()],
            assigned: vec![None; tasks.count],
            begun: vec![None; tasks.count],
            answered: 0,
            urgent_waits: Vec::new(),
            tasks,
        }
    }

    /// A job has come.
    pub(crate) fn arrive(&mut self, job: usize, now: MonoTime) {
        let count = u32::try_from(self.jobs[job].tasks.len()).unwrap_or(u32::MAX);
        let tasks = (0..count).rev().map(TaskIndex::new).collect();
        self.queue
            .add(TaskBook::waiting(&self.jobs[job], now, tasks));
    }

    /// `task` waits again.
    pub(crate) fn requeue(&mut self, job: usize, task: usize, now: MonoTime) {
        let tasks = vec![self.tasks.index_of(job, task)];
        self.queue
            .add(TaskBook::waiting(&self.jobs[job], now, tasks));
    }

    /// `task` has left its worker; answers with where it was.
    pub(crate) fn release(&mut self, job: usize, task: usize) -> Option<TaskAssignment> {
        let assignment = self.assigned[task].take()?;
        let room = &mut self.rooms[assignment.worker];
        room.release(&assignment.given);
        self.placed[job].remove(&room.rack, &room.zone);
        let customer = customer_mut(&mut self.customers, &self.jobs[job].customer);
        customer.allocated = customer.allocated.minus(&assignment.given);
        Some(assignment)
    }

    /// Walks the queue and starts what finds room.
    pub(crate) fn place_all(
        &mut self,
        now: MonoTime,
        noise: &SlowdownModel,
        world: &mut BatchWorld<'_>,
    ) {
        let queue = std::mem::take(&mut self.queue);
        HoldKeeper::drop_holds(&mut self.rooms, |name| queue.get(name).is_some());
        let mut pass = QueuePass::new(&queue, self.whole, now);
        let mut starts = Vec::new();
        let mut finals = Vec::new();
        let mut stops = Vec::new();
        while let Some(job) = pass.next_job(&self.customers) {
            let number = TaskBook::number_of(&job.name);
            let size = self.size_of(job);
            let held = self
                .rooms
                .iter()
                .any(|room| room.reserved_for.as_ref() == Some(&job.name));
            if pass.exceeds_refused_size(&size) && !held && !job.urgent {
                pass.skip_job();
                self.hold(job, number, size, now);
                continue;
            }
            match self.place_one(job, number, size, noise) {
                Ok(worker) => {
                    starts.push((number, worker, size));
                    pass.mark_placed();
                }
                Err(refusal) => {
                    pass.mark_refused(&size, &refusal);
                    if refusal.is_final() {
                        finals.push(job.name.clone());
                    } else if job.urgent {
                        stops.extend(self.preempt(job, number, size, world));
                    } else {
                        self.hold(job, number, size, now);
                    }
                }
            }
        }
        self.queue = queue;
        for (job, worker, size) in starts {
            self.start(job, worker, size, now, world);
        }
        for task in stops {
            let job = world.tasks[task].job;
            world.stop(task, true);
            world.evictions += 1;
            self.release(job, task);
            self.requeue(job, task, now);
        }
        for name in finals {
            self.answered += 1;
            self.queue.remove(&name);
        }
    }

    fn size_of(&self, job: &WaitingJob) -> ResourceSize {
        let policy = &self.estimate_policy;
        self.sizes
            .estimate(&job.name, &job.customer, &job.declared, policy)
            .size
    }

    fn place_one(
        &mut self,
        job: &WaitingJob,
        number: usize,
        size: ResourceSize,
        noise: &SlowdownModel,
    ) -> Result<usize, PlacementRefusal> {
        let weighs_noise = self.policy.has(PolicyFeature::NoiseChoice);
        let loud = if weighs_noise {
            noise.interference_of(&job.name)
        } else {
            0
        };
        let customer = customer_mut(&mut self.customers, &job.customer);
        let mut request = PlacementRequest::new(size, customer, &self.placed[number]);
        request.job = Some(&job.name);
        request.urgent = job.urgent;
        request.interference_permille = loud;
        let choice = choose_worker(&self.rooms, &request, &self.room_policy)?;
        let (rooms, policy) = (&self.rooms, &self.room_policy);
        let worker = self.choice.pick(rooms, policy, &size, choice.index);
        customer.allocated = customer.allocated.plus(&size);
        let room = &mut self.rooms[worker];
        room.allocate(&self.room_policy, &size);
        room.interference_permille += loud;
        self.placed[number].add(&room.rack, &room.zone);
        HoldKeeper::drop_holds(&mut self.rooms, |name| *name != job.name);
        Ok(worker)
    }

    fn hold(&mut self, job: &WaitingJob, number: usize, size: ResourceSize, now: MonoTime) {
        let waited = now.millis_since(job.submitted.max(job.not_before));
        let customer = customer_mut(&mut self.customers, &job.customer);
        let request = PlacementRequest::new(size, customer, &self.placed[number]);
        let (rooms, policy) = (&mut self.rooms, &self.room_policy);
        self.holds.hold(rooms, &request, &job.name, waited, policy);
    }

    /// Chooses tasks to stop for an urgent one and holds their worker for it.
    fn preempt(
        &mut self,
        job: &WaitingJob,
        number: usize,
        size: ResourceSize,
        world: &BatchWorld<'_>,
    ) -> Vec<usize> {
        if !self.holds.may_preempt(&self.rooms, &job.name) {
            return Vec::new();
        }
        let customer = customer_mut(&mut self.customers, &job.customer);
        let own_only = !size.fits_in(&customer.remaining());
        let mut places = Vec::new();
        let mut running = Vec::new();
        for (task, row) in self.assigned.iter().enumerate() {
            let known = &self.jobs[world.tasks[task].job];
            if let Some(row) = row
                && (!own_only || known.customer == job.customer)
            {
                places.push(task);
                running.push(RunningTask {
                    worker_index: row.worker,
                    allocated: row.given,
                    urgent: known.urgent,
                });
            }
        }
        let request = PlacementRequest::new(size, customer, &self.placed[number]);
        let (rooms, policy) = (&mut self.rooms, &self.room_policy);
        let chosen = HoldKeeper::preempt(rooms, &running, &request, &job.name, policy);
        chosen.into_iter().map(|place| places[place]).collect()
    }

    fn start(
        &mut self,
        job: usize,
        worker: usize,
        given: ResourceSize,
        now: MonoTime,
        world: &mut BatchWorld<'_>,
    ) {
        let name = &self.jobs[job].name;
        let submitted = self.queue.get(name).map(|waiting| waiting.submitted);
        let index = self
            .queue
            .take_task(name)
            .expect("the job has a waiting task");
        let task = self.tasks.place_of(job, index);
        let again = self.begun[task].is_some();
        self.begun[task].get_or_insert(now);
        if self.jobs[job].urgent && !again {
            let wait = submitted.map_or(0, |submitted| now.millis_since(submitted));
            self.urgent_waits.push(wait);
        }
        self.assigned[task] = Some(TaskAssignment {
            worker,
            given,
            started: now,
            memory_mb: 0,
            throttle_permille: 1_000,
        });
        world.start(task, worker, given);
    }
}
