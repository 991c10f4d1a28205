//! Planning of starts.

mod delayed_jobs;
mod large_reservations;
mod learning;
mod share_demands;
mod urgent_evictions;

use crate::planner::EvictionPlanner;
use crate::planner::EvictionRequest;
use crate::planner::PlanState;
use crate::planner::PlanView;
use crate::planner::PlannedStart;
use crate::planner::WorkerReserver;
use crate::shares::ShareDemand;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::CustomerQuota;
use sapphirestile_placement::EstimatePolicy;
use sapphirestile_placement::FailureHistory;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementChoice;
use sapphirestile_placement::PlacementPolicy;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::QueuePass;
use sapphirestile_placement::SizeEstimator;
use sapphirestile_placement::TaskQueue;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::WorkerHealth;
use sapphirestile_placement::choose_worker;

/// Plans starts, and adapts to the outcomes of tasks.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::StartPlanner;
/// use sapphirestile_core::JobName;
///
/// let planner = StartPlanner::default();
/// assert_eq!(planner.reason(&JobName::try_from("patterns").unwrap()), None);
/// ```
#[derive(Debug, Default)]
pub struct StartPlanner {
    customers: SortedTable<CustomerName, CustomerEntry>,
    /// Share of each customer's quota that is in force in this cell.
    shares: SortedTable<CustomerName, ResourceSize>,
    /// What the tasks lack that the latest plan left waiting for a share.
    demands: SortedTable<CustomerName, ShareDemand>,
    policy: PlacementPolicy,
    estimates: EstimatePolicy,
    sizes: SizeEstimator,
    failures: FailureHistory,
    worker_health: SortedTable<WorkerName, WorkerHealth>,
    /// When this planner first saw each job.
    submitted: SortedTable<JobName, MonoTime>,
    /// No task of these jobs is started before this time, after a failure or a stop.
    not_before: SortedTable<JobName, MonoTime>,
    /// Why the waiting tasks of a job were not started by the latest plan.
    reasons: SortedTable<JobName, String>,
    evictor: EvictionPlanner,
    reserver: WorkerReserver,
    /// Evictions that the caller has not taken yet.
    evictions: Vec<EvictionRequest>,
}

impl StartPlanner {
    /// Sets the customers with their whole quotas.
    pub fn set_customers(&mut self, customers: &SortedTable<CustomerName, CustomerEntry>) {
        self.customers = customers.clone();
    }

    /// Why the waiting tasks of a job were not started by the latest plan; `None` when they
    /// were, or when the job has no waiting tasks.
    #[must_use]
    pub fn reason(&self, job: &JobName) -> Option<&str> {
        self.reasons.get(job).map(String::as_str)
    }

    /// Health of the workers that are quarantined or on probation.
    pub fn worker_health(&self) -> impl Iterator<Item = (&WorkerName, &WorkerHealth)> {
        self.worker_health.iter()
    }

    /// Plans at most `view.limit` starts.
    pub fn plan(&mut self, view: &PlanView<'_>) -> Vec<PlannedStart> {
        self.record_submissions(view);
        self.advance_health(view.now);
        let mut plan = PlanState::gather(
            view,
            &self.customers,
            &self.shares,
            &self.submitted,
            &self.not_before,
        );
        plan.block_unhealthy_workers(&self.worker_health);
        self.evictor.mark_reserved(&mut plan.candidates, view.now);
        self.reserver.mark_reserved(&mut plan.candidates, view.now);
        self.reasons = SortedTable::new();
        self.demands = SortedTable::new();
        self.walk_queue(view, &mut plan)
    }

    fn walk_queue(&mut self, view: &PlanView<'_>, plan: &mut PlanState) -> Vec<PlannedStart> {
        let queue: TaskQueue = std::mem::take(&mut plan.queue);
        let total = plan
            .candidates
            .iter()
            .fold(ResourceSize::default(), |sum, candidate| {
                sum.plus(&candidate.size)
            });
        let mut pass = QueuePass::new(&queue, total, view.now);
        let mut starts = Vec::new();
        let mut taken: SortedTable<JobName, usize> = SortedTable::new();
        while starts.len() < view.limit
            && let Some(job) = pass.next_job(&plan.customers)
        {
            let size = self.size_of(job, &plan.candidates);
            if pass.exceeds_refused_size(&size) && self.reserver.worker_for(&job.name).is_none() {
                self.reserve_worker(job, size, view, plan);
                self.explain_refusal(
                    job,
                    "no capacity now: a task of at most this size found none",
                );
                pass.skip_job();
                continue;
            }
            match self.choose(job, size, plan) {
                Ok(choice) => {
                    starts.push(start_of(job, size, &choice, plan, &mut taken));
                    let progress = view.state.jobs().get(&job.name);
                    let progress = progress.expect("a waiting task's job is in the cell's state");
                    let worker = starts
                        .last()
                        .expect("a start was just added")
                        .worker
                        .clone();
                    plan.add_running(progress, &worker, &size);
                    self.evictor.release(&job.name);
                    self.reserver.release(&job.name);
                    pass.mark_placed();
                }
                Err(refusal) => {
                    let left = job.tasks.len() - taken.get(&job.name).copied().unwrap_or(0);
                    let refusal = self.check_quota(job, size, left, refusal, plan);
                    if matches!(refusal, PlacementRefusal::NoCapacity { .. }) {
                        self.free_capacity(job, size, view, plan);
                    }
                    self.explain_refusal(job, &refusal.to_string());
                    pass.mark_refused(&size, &refusal);
                }
            }
        }
        self.explain_skipped(&queue, view.now);
        starts
    }

    fn choose(
        &self,
        job: &WaitingJob,
        size: ResourceSize,
        plan: &PlanState,
    ) -> Result<PlacementChoice, PlacementRefusal> {
        let nothing = PlacedTasks::default();
        let customer = customer_quota(job, &plan.customers);
        let placed = plan.placed.get(&job.name).unwrap_or(&nothing);
        let mut request = PlacementRequest::new(size, customer, placed);
        request.job = Some(&job.name);
        request.urgent = job.urgent;
        request.zones = &job.zones;
        choose_worker(&plan.candidates, &request, &self.policy)
    }

    fn size_of(&self, job: &WaitingJob, candidates: &[CandidateWorker]) -> ResourceSize {
        let estimate =
            self.sizes
                .estimate(&job.name, &job.customer, &job.declared, &self.estimates);
        self.bounded(estimate.size, job, candidates)
    }

    /// Caps an estimate that fits no worker to the largest worker that fits the declared
    /// size: an estimate must not keep a task from running.
    fn bounded(
        &self,
        estimate: ResourceSize,
        job: &WaitingJob,
        candidates: &[CandidateWorker],
    ) -> ResourceSize {
        let allowed = |candidate: &&CandidateWorker| {
            job.zones.is_empty() || job.zones.contains(&candidate.zone)
        };
        let mut bounds = candidates
            .iter()
            .filter(allowed)
            .map(|candidate| self.policy.allocatable(&candidate.size));
        if bounds.clone().any(|bound| estimate.fits_in(&bound)) {
            return estimate;
        }
        let declared = |bound: &ResourceSize| job.declared.fits_in(bound);
        let rank = |bound: &ResourceSize| (bound.memory_mb, bound.cpu_milli);
        let largest = bounds.by_ref().filter(declared).max_by_key(rank);
        largest.map_or(estimate, |bound| ResourceSize {
            cpu_milli: estimate.cpu_milli.min(bound.cpu_milli),
            memory_mb: estimate.memory_mb.min(bound.memory_mb),
            accelerators: estimate.accelerators.min(bound.accelerators),
        })
    }

    fn record_submissions(&mut self, view: &PlanView<'_>) {
        for job in view.state.jobs().keys() {
            if !self.submitted.contains(job) {
                self.submitted.insert(job.clone(), view.now);
            }
        }
    }

    fn advance_health(&mut self, now: MonoTime) {
        for (_, health) in self.worker_health.iter_mut() {
            health.advance_to(now);
        }
    }
}

/// The start of the job's next task on the chosen worker.
fn start_of(
    job: &WaitingJob,
    size: ResourceSize,
    choice: &PlacementChoice,
    plan: &PlanState,
    taken: &mut SortedTable<JobName, usize>,
) -> PlannedStart {
    let count = taken.get_or_insert_with(job.name.clone(), || 0);
    let index = job.tasks[*count];
    *count += 1;
    PlannedStart {
        task: TaskName {
            job: job.name.clone(),
            index,
        },
        worker: plan.candidates[choice.index].name.clone(),
        size,
        reason: choice.reason.to_string(),
    }
}

fn customer_quota<'b>(job: &WaitingJob, customers: &'b [CustomerQuota]) -> &'b CustomerQuota {
    let index = customers.binary_search_by(|customer| customer.name.cmp(&job.customer));
    &customers[index.expect("the queue skips jobs of unknown customers")]
}
