//! Plans starts.

mod delayed_jobs;
mod large_room;
mod learning;
mod share_wants;
mod urgent_room;

use crate::planner::EvictionOrder;
use crate::planner::HoldKeeper;
use crate::planner::PlanView;
use crate::planner::PlannedStart;
use crate::planner::RoomBook;
use crate::planner::RoomMaker;
use crate::shares::ShareWant;
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

/// Plans starts, and learns from what becomes of them.
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
    /// The share of each customer's quota that is in force in this cell.
    shares: SortedTable<CustomerName, ResourceSize>,
    /// What the tasks want that the latest plan left waiting for a share.
    wants: SortedTable<CustomerName, ShareWant>,
    policy: PlacementPolicy,
    estimates: EstimatePolicy,
    sizes: SizeEstimator,
    failures: FailureHistory,
    standings: SortedTable<WorkerName, WorkerHealth>,
    submitted: SortedTable<JobName, MonoTime>,
    not_before: SortedTable<JobName, MonoTime>,
    /// Why the tasks of a job wait, as of the latest plan.
    reasons: SortedTable<JobName, String>,
    maker: RoomMaker,
    keeper: HoldKeeper,
    evictions: Vec<EvictionOrder>,
}

impl StartPlanner {
    /// Takes the customers with their whole quotas.
    pub fn set_customers(&mut self, customers: &SortedTable<CustomerName, CustomerEntry>) {
        self.customers = customers.clone();
    }

    /// Why the waiting tasks of a job were not started by the latest plan.
    #[must_use]
    pub fn reason(&self, job: &JobName) -> Option<&str> {
        self.reasons.get(job).map(String::as_str)
    }

    /// Workers that are set aside or on probation, with what is said of them.
    pub fn standings(&self) -> impl Iterator<Item = (&WorkerName, &WorkerHealth)> {
        self.standings.iter()
    }

    /// Plans starts, at most as many as the view allows.
    pub fn plan(&mut self, view: &PlanView<'_>) -> Vec<PlannedStart> {
        self.note_submitted(view);
        self.pass_time(view.now);
        let mut book = RoomBook::gather(
            view,
            &self.customers,
            &self.shares,
            &self.submitted,
            &self.not_before,
        );
        book.judge(&self.standings);
        self.maker.mark(&mut book.rooms, view.now);
        self.keeper.mark(&mut book.rooms, view.now);
        self.reasons = SortedTable::new();
        self.wants = SortedTable::new();
        self.walk(view, &mut book)
    }

    fn walk(&mut self, view: &PlanView<'_>, book: &mut RoomBook) -> Vec<PlannedStart> {
        let queue: TaskQueue = std::mem::take(&mut book.queue);
        let whole = book
            .rooms
            .iter()
            .fold(ResourceSize::default(), |sum, room| sum.plus(&room.size));
        let mut pass = QueuePass::new(&queue, whole, view.now);
        let mut starts = Vec::new();
        let mut taken: SortedTable<JobName, usize> = SortedTable::new();
        while starts.len() < view.limit
            && let Some(job) = pass.next_job(&book.customers)
        {
            let size = self.size_of(job, &book.rooms);
            if pass.exceeds_refused_size(&size) && self.keeper.held_for(&job.name).is_none() {
                self.hold_worker(job, size, view, book);
                self.explain_no_room(job, "no room now: as large a task found none");
                pass.skip_job();
                continue;
            }
            match self.choose(job, size, book) {
                Ok(choice) => {
                    starts.push(start_of(job, size, &choice, book, &mut taken));
                    let record = view.state.jobs().get(&job.name);
                    let record = record.expect("a waiting task belongs to a job");
                    let worker = starts
                        .last()
                        .expect("a start was just added")
                        .worker
                        .clone();
                    book.occupy(record, &worker, &size);
                    self.maker.release(&job.name);
                    self.keeper.release(&job.name);
                    pass.mark_placed();
                }
                Err(refusal) => {
                    let left = job.tasks.len() - taken.get(&job.name).copied().unwrap_or(0);
                    let refusal = self.judge_quota(job, size, left, refusal, book);
                    if matches!(refusal, PlacementRefusal::NoCapacity { .. }) {
                        self.find_room(job, size, view, book);
                    }
                    self.explain_no_room(job, &refusal.to_string());
                    pass.mark_refused(&size, &refusal);
                }
            }
        }
        self.explain_left_out(&queue, view.now);
        starts
    }

    fn choose(
        &self,
        job: &WaitingJob,
        size: ResourceSize,
        book: &RoomBook,
    ) -> Result<PlacementChoice, PlacementRefusal> {
        let nothing = PlacedTasks::default();
        let customer = customer_of(job, &book.customers);
        let placed = book.placed.get(&job.name).unwrap_or(&nothing);
        let mut request = PlacementRequest::new(size, customer, placed);
        request.job = Some(&job.name);
        request.urgent = job.urgent;
        request.zones = &job.zones;
        choose_worker(&book.rooms, &request, &self.policy)
    }

    fn size_of(&self, job: &WaitingJob, rooms: &[CandidateWorker]) -> ResourceSize {
        let estimate =
            self.sizes
                .estimate(&job.name, &job.customer, &job.declared, &self.estimates);
        self.bounded(estimate.size, job, rooms)
    }

    /// An estimate that no worker is large enough for, cut to the largest worker
    /// that has what was declared: an estimate must not keep a task from running.
    fn bounded(
        &self,
        estimate: ResourceSize,
        job: &WaitingJob,
        rooms: &[CandidateWorker],
    ) -> ResourceSize {
        let allowed =
            |room: &&CandidateWorker| job.zones.is_empty() || job.zones.contains(&room.zone);
        let mut bounds = rooms
            .iter()
            .filter(allowed)
            .map(|room| self.policy.allocatable(&room.size));
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

    fn note_submitted(&mut self, view: &PlanView<'_>) {
        for job in view.state.jobs().keys() {
            if !self.submitted.contains(job) {
                self.submitted.insert(job.clone(), view.now);
            }
        }
    }

    fn pass_time(&mut self, now: MonoTime) {
        for (_, standing) in self.standings.iter_mut() {
            standing.advance_to(now);
        }
    }
}

/// The next task of a job, on the chosen worker.
fn start_of(
    job: &WaitingJob,
    size: ResourceSize,
    choice: &PlacementChoice,
    book: &RoomBook,
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
        worker: book.rooms[choice.index].name.clone(),
        size,
        reason: choice.reason.to_string(),
    }
}

fn customer_of<'b>(job: &WaitingJob, customers: &'b [CustomerQuota]) -> &'b CustomerQuota {
    let place = customers.binary_search_by(|customer| customer.name.cmp(&job.customer));
    &customers[place.expect("the queue passes jobs of unknown customers over")]
}
