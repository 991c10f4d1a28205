//! Places waiting tasks on workers.

mod preemption;

use crate::DeploymentPlan;
use crate::PolicyFeature;
use crate::PolicyVariant;
use crate::batch::SimulatedCluster;
use crate::batch::reservation_policy::ReservationPolicy;
use crate::batch::runtime_statistics::RuntimeStatistics;
use crate::batch::scheduler_setup::customer_quota_mut;
use crate::batch::scheduler_setup::customer_quotas;
use crate::batch::scheduler_setup::empty_candidate;
use crate::batch::task_assignment::TaskAssignment;
use crate::batch::task_numbering::TaskNumbering;
use crate::batch::worker_selector::WorkerSelector;
use crate::plan::JobProfile;
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
use sapphirestile_placement::SizeEstimator;
use sapphirestile_placement::SlowdownModel;
use sapphirestile_placement::TaskQueue;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::choose_worker;

/// The queue of waiting tasks, the free capacity of the workers and the assignments.
pub(crate) struct TaskPlacer<'a> {
    jobs: &'a [JobProfile],
    policy: &'a PolicyVariant,
    placement_policy: PlacementPolicy,
    estimate_policy: EstimatePolicy,
    numbering: TaskNumbering,
    reservations: ReservationPolicy,
    /// The batch capacity of all workers together.
    total_size: ResourceSize,
    /// The quota and allocation of each customer.
    customers: Vec<CustomerQuota>,
    /// For each job the racks and zones of its running tasks.
    placed: Vec<PlacedTasks>,
    selector: WorkerSelector,
    pub(crate) queue: TaskQueue,
    /// All workers with their free capacity, as the scheduler knows it.
    pub(crate) candidates: Vec<CandidateWorker>,
    pub(crate) sizes: SizeEstimator,
    /// For each job the run times of its finished tasks.
    pub(crate) runtimes: Vec<RuntimeStatistics>,
    /// For each task its assignment; `None` while it waits or after its end.
    pub(crate) assignments: Vec<Option<TaskAssignment>>,
    /// For each task its first start; `None` if it has never started.
    pub(crate) first_started: Vec<Option<MonoTime>>,
    /// Jobs removed because they can never be placed or because they kept failing.
    pub(crate) rejected_jobs: u64,
    /// How long urgent tasks waited for their first start, in milliseconds.
    pub(crate) urgent_waits: Vec<u64>,
}

impl<'a> TaskPlacer<'a> {
    /// Creates idle workers and an empty queue.
    pub(crate) fn new(
        plan: &DeploymentPlan,
        jobs: &'a [JobProfile],
        policy: &'a PolicyVariant,
        seed: u64,
    ) -> Self {
        let numbering = TaskNumbering::new(jobs);
        let candidates = (0..WORKER_COUNT).map(|worker| empty_candidate(plan, worker));
        let candidates = candidates.collect::<Vec<_>>();
        let total_size = candidates
            .iter()
            .fold(ResourceSize::default(), |sum, candidate| {
                sum.plus(&candidate.size)
            });
        let measures_sizes = policy.has(PolicyFeature::MeasuredSizes);
        Self {
            jobs,
            policy,
            placement_policy: PlacementPolicy::default(),
            estimate_policy: if measures_sizes {
                EstimatePolicy::default()
            } else {
                EstimatePolicy::as_declared()
            },
            reservations: ReservationPolicy::new(policy),
            total_size,
            customers: customer_quotas(&total_size),
            placed: vec![PlacedTasks::default(); jobs.len()],
            selector: WorkerSelector::new(policy.placement, seed),
            queue: TaskQueue::default(),
            candidates,
            sizes: SizeEstimator::default(),
            runtimes: vec![RuntimeStatistics::default(); jobs.len()],
            assignments: vec![None; numbering.task_count],
            first_started: vec![None; numbering.task_count],
            rejected_jobs: 0,
            urgent_waits: Vec::new(),
            numbering,
        }
    }

    /// Adds all tasks of `job` to the queue.
    pub(crate) fn arrive(&mut self, job: usize, now: MonoTime) {
        let count = u32::try_from(self.jobs[job].tasks.len()).unwrap_or(u32::MAX);
        let tasks = (0..count).rev().map(TaskIndex::new).collect();
        self.queue
            .add(TaskNumbering::waiting_job(&self.jobs[job], now, tasks));
    }

    /// Adds `task` of `job` to the queue again.
    pub(crate) fn requeue(&mut self, job: usize, task: usize, now: MonoTime) {
        let tasks = vec![self.numbering.index_in_job(job, task)];
        self.queue
            .add(TaskNumbering::waiting_job(&self.jobs[job], now, tasks));
    }

    /// Frees the resources of `task` and returns its assignment; `None` if it had none.
    pub(crate) fn release(&mut self, job: usize, task: usize) -> Option<TaskAssignment> {
        let assignment = self.assignments[task].take()?;
        let candidate = &mut self.candidates[assignment.worker];
        candidate.release(&assignment.allocated);
        self.placed[job].remove(&candidate.rack, &candidate.zone);
        let customer = customer_quota_mut(&mut self.customers, &self.jobs[job].customer);
        customer.allocated = customer.allocated.minus(&assignment.allocated);
        Some(assignment)
    }

    /// Goes through the queue and starts every task that fits on a worker.
    ///
    /// For an urgent task that does not fit, other tasks are stopped; for another, a
    /// worker may be reserved. Jobs that can never be placed are removed.
    pub(crate) fn place_all(
        &mut self,
        now: MonoTime,
        slowdown_model: &SlowdownModel,
        cluster: &mut SimulatedCluster<'_>,
    ) {
        let queue = std::mem::take(&mut self.queue);
        ReservationPolicy::clear_reservations(&mut self.candidates, |name| {
            queue.get(name).is_some()
        });
        let mut pass = QueuePass::new(&queue, self.total_size, now);
        let mut starts = Vec::new();
        let mut rejected = Vec::new();
        let mut victims = Vec::new();
        while let Some(job) = pass.next_job(&self.customers) {
            let number = TaskNumbering::job_number(&job.name);
            let size = self.size_of(job);
            let has_reservation = self
                .candidates
                .iter()
                .any(|candidate| candidate.reserved_for.as_ref() == Some(&job.name));
            if pass.exceeds_refused_size(&size) && !has_reservation && !job.urgent {
                pass.skip_job();
                self.reserve(job, number, size, now);
                continue;
            }
            match self.place_one(job, number, size, slowdown_model) {
                Ok(worker) => {
                    starts.push((number, worker, size));
                    pass.mark_placed();
                }
                Err(refusal) => {
                    pass.mark_refused(&size, &refusal);
                    if refusal.is_final() {
                        rejected.push(job.name.clone());
                    } else if job.urgent {
                        victims.extend(self.preempt(job, number, size, cluster));
                    } else {
                        self.reserve(job, number, size, now);
                    }
                }
            }
        }
        self.queue = queue;
        for (job, worker, size) in starts {
            self.start(job, worker, size, now, cluster);
        }
        for task in victims {
            let job = cluster.tasks[task].job;
            cluster.stop(task, true);
            cluster.evictions += 1;
            self.release(job, task);
            self.requeue(job, task, now);
        }
        for name in rejected {
            self.rejected_jobs += 1;
            self.queue.remove(&name);
        }
    }

    fn size_of(&self, job: &WaitingJob) -> ResourceSize {
        let policy = &self.estimate_policy;
        self.sizes
            .estimate(&job.name, &job.customer, &job.declared, policy)
            .size
    }

    /// Allocates resources for one task of `job` and returns the index of the worker.
    fn place_one(
        &mut self,
        job: &WaitingJob,
        number: usize,
        size: ResourceSize,
        slowdown_model: &SlowdownModel,
    ) -> Result<usize, PlacementRefusal> {
        let weighs_interference = self.policy.has(PolicyFeature::InterferenceAwarePlacement);
        let interference = if weighs_interference {
            slowdown_model.interference_of(&job.name)
        } else {
            0
        };
        let customer = customer_quota_mut(&mut self.customers, &job.customer);
        let mut request = PlacementRequest::new(size, customer, &self.placed[number]);
        request.job = Some(&job.name);
        request.urgent = job.urgent;
        request.interference_permille = interference;
        let choice = choose_worker(&self.candidates, &request, &self.placement_policy)?;
        let (candidates, policy) = (&self.candidates, &self.placement_policy);
        let worker = self
            .selector
            .select(candidates, policy, &size, choice.index);
        customer.allocated = customer.allocated.plus(&size);
        let candidate = &mut self.candidates[worker];
        candidate.allocate(&self.placement_policy, &size);
        candidate.interference_permille += interference;
        self.placed[number].add(&candidate.rack, &candidate.zone);
        ReservationPolicy::clear_reservations(&mut self.candidates, |name| *name != job.name);
        Ok(worker)
    }

    fn start(
        &mut self,
        job: usize,
        worker: usize,
        allocated: ResourceSize,
        now: MonoTime,
        cluster: &mut SimulatedCluster<'_>,
    ) {
        let name = &self.jobs[job].name;
        let submitted = self.queue.get(name).map(|waiting| waiting.submitted);
        let index = self
            .queue
            .take_task(name)
            .expect("the job has a waiting task");
        let task = self.numbering.task_number(job, index);
        let started_before = self.first_started[task].is_some();
        self.first_started[task].get_or_insert(now);
        if self.jobs[job].urgent && !started_before {
            let wait = submitted.map_or(0, |submitted| now.millis_since(submitted));
            self.urgent_waits.push(wait);
        }
        self.assignments[task] = Some(TaskAssignment {
            worker,
            allocated,
            started: now,
            memory_mb: 0,
            throttle_permille: 1_000,
        });
        cluster.start(task, worker, allocated);
    }
}
