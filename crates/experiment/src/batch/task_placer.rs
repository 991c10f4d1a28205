//! Starts tasks.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::DeploymentPlan;
use crate::PlacementMode;
use crate::PolicyFeature;
use crate::PolicySet;
use crate::batch::BatchWorld;
use crate::batch::baseline_choice::first_with_room;
use crate::batch::baseline_choice::least_loaded;
use crate::batch::owner_setup::customer_mut;
use crate::batch::owner_setup::customers_of;
use crate::batch::owner_setup::room_of;
use crate::batch::run_record::RunRecord;
use crate::batch::task_assignment::TaskAssignment;
use crate::plan::JobTruth;
use crate::plan::WORKER_COUNT;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskIndex;
use sapphirestile_placement::CustomerRoom;
use sapphirestile_placement::EstimatePolicy;
use sapphirestile_placement::HOLD_AFTER_MS;
use sapphirestile_placement::NoiseBook;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::QueuePass;
use sapphirestile_placement::RoomPolicy;
use sapphirestile_placement::RunningTask;
use sapphirestile_placement::SizeBook;
use sapphirestile_placement::TaskQueue;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::WorkerRoom;
use sapphirestile_placement::choose_held_worker;
use sapphirestile_placement::choose_victims;
use sapphirestile_placement::choose_worker;

const SEED_SALT: u64 = 0x706c_6163;

/// The queue, the rooms and what is assigned where.
pub(crate) struct TaskPlacer<'a> {
    jobs: &'a [JobTruth],
    policy: &'a PolicySet,
    room_policy: RoomPolicy,
    estimate_policy: EstimatePolicy,
    first_task: Vec<usize>,
    whole: ResourceSize,
    customers: Vec<CustomerRoom>,
    placed: Vec<PlacedTasks>,
    rng: SmallRng,
    turn: usize,
    pub(crate) queue: TaskQueue,
    pub(crate) rooms: Vec<WorkerRoom>,
    pub(crate) sizes: SizeBook,
    pub(crate) runs: Vec<RunRecord>,
    pub(crate) assigned: Vec<Option<TaskAssignment>>,
    begun: Vec<bool>,
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
        let mut first_task = Vec::with_capacity(jobs.len());
        let mut tasks = 0;
        for job in jobs {
            first_task.push(tasks);
            tasks += job.tasks.len();
        }
        let rooms = (0..WORKER_COUNT).map(|worker| room_of(plan, worker));
        let rooms = rooms.collect::<Vec<_>>();
        let whole = rooms
            .iter()
            .fold(ResourceSize::default(), |sum, room| sum.plus(&room.size));
        let measured = policy.has(PolicyFeature::MeasuredSizes);
        Self {
            jobs,
            policy,
            room_policy: RoomPolicy::default(),
            estimate_policy: if measured {
                EstimatePolicy::default()
            } else {
                EstimatePolicy::as_declared()
            },
            first_task,
            whole,
            customers: customers_of(&whole),
            placed: vec![PlacedTasks::default(); jobs.len()],
            rng: SmallRng::seed_from_u64(seed ^ SEED_SALT),
            turn: 0,
            queue: TaskQueue::default(),
            rooms,
            sizes: SizeBook::default(),
            runs: vec![RunRecord::default(); jobs.len()],
            assigned: vec![None; tasks],
            begun: vec![false; tasks],
            answered: 0,
            urgent_waits: Vec::new(),
        }
    }

    /// A job has come.
    pub(crate) fn arrive(&mut self, job: usize, now: MonoTime) {
        let count = u32::try_from(self.jobs[job].tasks.len()).unwrap_or(u32::MAX);
        let tasks = (0..count).rev().map(TaskIndex::new).collect();
        self.queue.add(waiting(&self.jobs[job], now, tasks));
    }

    /// `task` waits again.
    pub(crate) fn requeue(&mut self, job: usize, task: usize, now: MonoTime) {
        let index = u32::try_from(task - self.first_task[job]).unwrap_or(u32::MAX);
        let tasks = vec![TaskIndex::new(index)];
        self.queue.add(waiting(&self.jobs[job], now, tasks));
    }

    /// `task` has left its worker; answers with where it was.
    pub(crate) fn release(&mut self, job: usize, task: usize) -> Option<TaskAssignment> {
        let assignment = self.assigned[task].take()?;
        let room = &mut self.rooms[assignment.worker];
        room.take_back(&assignment.given);
        self.placed[job].remove(&room.rack, &room.zone);
        let customer = customer_mut(&mut self.customers, &self.jobs[job].customer);
        customer.given = customer.given.minus(&assignment.given);
        Some(assignment)
    }

    /// Walks the queue and starts what finds room.
    pub(crate) fn place_all(
        &mut self,
        now: MonoTime,
        noise: &NoiseBook,
        world: &mut BatchWorld<'_>,
    ) {
        let queue = std::mem::take(&mut self.queue);
        self.drop_holds(|name| queue.get(name).is_some());
        let mut pass = QueuePass::new(&queue, self.whole, now);
        let mut starts = Vec::new();
        let mut finals = Vec::new();
        let mut stops = Vec::new();
        while let Some(job) = pass.next_job(&self.customers) {
            let number = number_of(&job.name);
            let size = self.size_of(job);
            let held = self
                .rooms
                .iter()
                .any(|room| room.held_for.as_ref() == Some(&job.name));
            if pass.found_no_room(&size) && !held && !job.urgent {
                pass.pass_over();
                continue;
            }
            match self.place_one(job, number, size, noise) {
                Ok(worker) => {
                    starts.push((number, worker, size));
                    pass.placed();
                }
                Err(refusal) => {
                    pass.refused(&size, &refusal);
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
        noise: &NoiseBook,
    ) -> Result<usize, PlacementRefusal> {
        let weighs_noise = self.policy.has(PolicyFeature::NoiseChoice);
        let loud = if weighs_noise {
            noise.noise_of(&job.name)
        } else {
            0
        };
        let customer = customer_mut(&mut self.customers, &job.customer);
        let mut request = PlacementRequest::new(size, customer, &self.placed[number]);
        request.job = Some(&job.name);
        request.urgent = job.urgent;
        request.noise_permille = loud;
        let choice = choose_worker(&self.rooms, &request, &self.room_policy)?;
        let worker = match self.policy.placement {
            PlacementMode::Chosen => choice.place,
            PlacementMode::Random => {
                let draw = self.rng.random_range(0..WORKER_COUNT);
                first_with_room(&self.rooms, &self.room_policy, &size, draw)
            }
            PlacementMode::RoundRobin => {
                self.turn += 1;
                first_with_room(&self.rooms, &self.room_policy, &size, self.turn)
            }
            PlacementMode::LeastLoaded => least_loaded(&self.rooms, &self.room_policy, &size),
        };
        customer.given = customer.given.plus(&size);
        let room = &mut self.rooms[worker];
        room.give(&self.room_policy, &size);
        room.noise_permille += loud;
        self.placed[number].add(&room.rack, &room.zone);
        self.drop_holds(|name| *name != job.name);
        Ok(worker)
    }

    fn hold(&mut self, job: &WaitingJob, number: usize, size: ResourceSize, now: MonoTime) {
        let taken = self.rooms.iter().any(|room| room.held_for.is_some());
        let waited = now.millis_since(job.submitted.max(job.not_before));
        if taken || waited < HOLD_AFTER_MS || !self.policy.has(PolicyFeature::HeldWorker) {
            return;
        }
        // Only work that is hard to fit needs a worker of its own.
        if size.cpu_milli * 4 < self.rooms[0].size.cpu_milli {
            return;
        }
        let customer = customer_mut(&mut self.customers, &job.customer);
        if !size.fits_in(&customer.left()) {
            return;
        }
        let request = PlacementRequest::new(size, customer, &self.placed[number]);
        if let Some(worker) = choose_held_worker(&self.rooms, &request, &self.room_policy) {
            self.rooms[worker].held_for = Some(job.name.clone());
        }
    }

    /// Chooses tasks to stop for an urgent one and holds their worker for it.
    fn preempt(
        &mut self,
        job: &WaitingJob,
        number: usize,
        size: ResourceSize,
        world: &BatchWorld<'_>,
    ) -> Vec<usize> {
        let held = |room: &WorkerRoom| room.held_for.as_ref() == Some(&job.name);
        if !self.policy.has(PolicyFeature::Preemption) || self.rooms.iter().any(held) {
            return Vec::new();
        }
        let customer = customer_mut(&mut self.customers, &job.customer);
        let own_only = !size.fits_in(&customer.left());
        let is_open = |task: &usize| {
            let known = &self.jobs[world.tasks[*task].job];
            self.assigned[*task].is_some() && (!own_only || known.customer == job.customer)
        };
        let running = (0..self.assigned.len()).filter(is_open);
        let running = running.collect::<Vec<_>>();
        let view = |task: &usize| {
            self.assigned[*task].map(|row| RunningTask {
                worker: row.worker,
                given: row.given,
                urgent: self.jobs[world.tasks[*task].job].urgent,
            })
        };
        let views = running.iter().filter_map(view).collect::<Vec<_>>();
        let request = PlacementRequest::new(size, customer, &self.placed[number]);
        let Some(choice) = choose_victims(&self.rooms, &views, &request, &self.room_policy) else {
            return Vec::new();
        };
        self.rooms[choice.worker].held_for = Some(job.name.clone());
        choice
            .tasks
            .into_iter()
            .map(|place| running[place])
            .collect()
    }

    fn drop_holds(&mut self, keep: impl Fn(&JobName) -> bool) {
        for room in &mut self.rooms {
            room.held_for = room.held_for.take().filter(&keep);
        }
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
        let task = self.first_task[job] + usize::try_from(index.get()).unwrap_or(0);
        let again = std::mem::replace(&mut self.begun[task], true);
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

/// The place of a job in the workload.
pub(crate) fn number_of(name: &JobName) -> usize {
    let digits = name.as_str().rsplit('-').next().unwrap_or("");
    digits.parse().expect("names of jobs end with their number")
}

fn waiting(job: &JobTruth, now: MonoTime, tasks: Vec<TaskIndex>) -> WaitingJob {
    WaitingJob {
        name: job.name.clone(),
        customer: job.customer.clone(),
        urgent: job.urgent,
        declared: job.declared,
        zones: Vec::new(),
        submitted: now,
        not_before: MonoTime::default(),
        tasks,
    }
}
