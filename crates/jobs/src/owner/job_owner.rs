//! The owner of the jobs and workers of a cell.

mod advising;
mod assigning;
mod batches;
mod expiry;
mod gangs;
mod idle_tasks;
mod intake;
mod learning;
mod lease_grants;
mod left_out_jobs;
mod load_report;
mod moves;
mod overdue;
mod pace_changes;
mod planning;
mod polling;
mod received_tasks;
mod requests;
mod responses;
mod restarts;
mod results;
mod spreading;
mod stragglers;
mod transfers;
mod unexpected_runs;
mod waiting_report;
mod worker_list;

use std::sync::Arc;

use crate::advice::AdviceCache;
use crate::division::RestartNeed;
use crate::owner::DecisionEvent;
use crate::owner::DeferredEffect;
use crate::owner::DepartingNeed;
use crate::owner::GuestRemoval;
use crate::owner::JobEntry;
use crate::owner::LeaseBounds;
use crate::owner::OwnerEffect;
use crate::owner::OwnerLimits;
use crate::owner::TaskTransfer;
use crate::owner::UnappliedEnd;
use crate::owner::UnplacedTask;
use crate::owner::WaitKey;
use crate::pacing::ImageTable;
use crate::pacing::InterferenceModel;
use crate::planner::DurationEstimator;
use crate::planner::SpareWorkers;
use crate::policy::DeployedConfig;
use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;
use crate::worker::TrackedWorker;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

/// The owner of the jobs and workers of a cell, from when it claims the cell until another
/// owner takes over.
#[derive(Debug)]
pub struct JobOwner {
    epoch: CellEpoch,
    limits: OwnerLimits,
    config: Arc<DeployedConfig>,
    zones_out: Vec<ZoneName>,
    jobs: SortedTable<JobIdentity, Box<JobEntry>>,
    /// Jobs of the cell whose rows cannot be read, unless they were cancelled.
    left_out: SortedTable<JobIdentity, ()>,
    /// Ends of their runs that the next batch stores, by task and run.
    unapplied_ends: SortedTable<(TaskIdentity, u32), UnappliedEnd>,
    /// Ends that an earlier owner stored and this one has applied, whose rows the next batch
    /// deletes.
    applied_ends: Vec<(TaskIdentity, u32)>,
    workers: SortedTable<WorkerName, Box<TrackedWorker>>,
    /// Jobs with a task that can start.
    waiting: SortedTable<WaitKey, ()>,
    /// Repeated jobs with occurrences that have not begun.
    repeating: Vec<JobIdentity>,
    /// Jobs whose progress changed since the latest batch.
    changed: SortedTable<JobIdentity, ()>,
    /// Jobs that have begun since the latest batch. Their records go with the next one, which
    /// is not sent for them alone.
    begun: SortedTable<JobIdentity, ()>,
    /// Ended jobs that the next batch deletes from the store.
    forgotten: Vec<JobIdentity>,
    /// Ended jobs, of this cell or another, whose deletion is being stored.
    forgetting: Vec<JobIdentity>,
    /// Jobs that move to another cell with the next batch, and where to.
    leaving: Vec<(JobIdentity, CellNumber)>,
    /// Jobs whose moves are being stored.
    moving: Vec<JobIdentity>,
    /// Long-running tasks that have run before and found no worker in this cell.
    unplaced: SortedTable<TaskIdentity, UnplacedTask>,
    /// Needs of tasks that were lately transferred to other cells.
    departing: Vec<DepartingNeed>,
    /// Tasks that are transferred to another cell with the next batch.
    transfers: Vec<TaskTransfer>,
    /// Tasks whose transfers are being stored.
    storing_transfers: Vec<TaskTransfer>,
    /// Ended jobs with the cells that are to end what they have of them.
    revoked: Vec<(JobIdentity, CellNumber)>,
    /// Tasks that came back, with the number of the transfer, whose rows the next batch deletes.
    absorbed: Vec<(TaskIdentity, u32)>,
    /// Ended jobs of other cells that the next batch deletes from the store.
    forgotten_guests: Vec<GuestRemoval>,
    /// Effects that wait for the next batch.
    deferred: Vec<DeferredEffect>,
    /// Effects that wait for the batch that is being stored; `None` if none is.
    storing: Option<Vec<DeferredEffect>>,
    /// Effects that were released and not taken yet.
    effects: Vec<OwnerEffect>,
    decisions: Vec<DecisionEvent>,
    /// Start of the authority to grant leases: when the latest stored batch was sent; `None`
    /// before the first. The claim gives none, since its row has the bounds of earlier owners.
    authority: Option<MonoTime>,
    /// Bounds on the leases that earlier owners granted, as of the claim.
    inherited: LeaseBounds,
    /// Every worker that has responded to this owner, also those that are gone: a worker may
    /// come back under its name.
    responded: SortedTable<WorkerName, ()>,
    /// Whether a worker is to get leases again, or none any more, with the next batch.
    has_grant_change: bool,
    /// When the latest batch, or the claim, was sent.
    sent: MonoTime,
    /// When the claim was sent.
    claimed: MonoTime,
    is_deposed: bool,
    /// Workers beyond those that are kept for certain tasks; updated once per planning pass
    /// and after each assignment of such a task.
    spare: SpareWorkers,
    /// Workers on which only long-running tasks start, until one that waits fits there.
    held: SortedTable<WorkerName, ()>,
    /// Workers on which first runs of long-running tasks leave what becomes free to those that
    /// have to run again; updated once per planning pass.
    awaited: SortedTable<WorkerName, ()>,
    /// Long-running tasks of the other cells that have to run again and find no worker, by
    /// their latest reports.
    restarts_elsewhere: Vec<RestartNeed>,
    /// Those of the other cells for which first runs do not wait any more.
    late_restarts_elsewhere: Vec<RestartNeed>,
    /// Number of cells, this one included.
    cells: u16,
    images: ImageTable,
    interference: InterferenceModel,
    durations: DurationEstimator,
    /// When the learnt estimates were last put into a batch.
    learnt_batched: MonoTime,
    advice: AdviceCache,
    /// When the load of the cell was last put into a batch, or the claim was sent: its row has
    /// the load that the previous owner reported, which stands until workers have responded.
    load_reported: MonoTime,
    /// When a task that found no worker was last reported.
    passed_over_reported: MonoTime,
    /// When the causes of waits were last sampled.
    waits_sampled: MonoTime,
    /// When a task that waits for a transfer was last reported.
    delay_reported: MonoTime,
    /// When a job that is not overdue last waited with nothing running; the default if never.
    new_waited: MonoTime,
    /// When the job that has waited longest was last reported.
    longest_wait_reported: MonoTime,
}

impl JobOwner {
    /// Creates an owner whose claim was sent at `claimed` or later and is stored. Leases that
    /// earlier owners granted end within the `inherited` bounds after `claimed`.
    #[must_use]
    pub fn new(
        epoch: CellEpoch,
        limits: OwnerLimits,
        config: Arc<DeployedConfig>,
        zones_out: Vec<ZoneName>,
        inherited: LeaseBounds,
        claimed: MonoTime,
    ) -> Self {
        Self {
            epoch,
            limits,
            config,
            zones_out,
            jobs: SortedTable::new(),
            left_out: SortedTable::new(),
            unapplied_ends: SortedTable::new(),
            applied_ends: Vec::new(),
            workers: SortedTable::new(),
            waiting: SortedTable::new(),
            repeating: Vec::new(),
            changed: SortedTable::new(),
            begun: SortedTable::new(),
            forgotten: Vec::new(),
            forgetting: Vec::new(),
            leaving: Vec::new(),
            moving: Vec::new(),
            unplaced: SortedTable::new(),
            departing: Vec::new(),
            transfers: Vec::new(),
            storing_transfers: Vec::new(),
            revoked: Vec::new(),
            absorbed: Vec::new(),
            forgotten_guests: Vec::new(),
            deferred: Vec::new(),
            storing: None,
            effects: Vec::new(),
            decisions: Vec::new(),
            authority: None,
            inherited,
            responded: SortedTable::new(),
            has_grant_change: true,
            sent: claimed,
            claimed,
            is_deposed: false,
            spare: SpareWorkers::default(),
            held: SortedTable::new(),
            awaited: SortedTable::new(),
            restarts_elsewhere: Vec::new(),
            late_restarts_elsewhere: Vec::new(),
            cells: 1,
            images: ImageTable::default(),
            interference: InterferenceModel::default(),
            durations: DurationEstimator::default(),
            learnt_batched: claimed,
            advice: AdviceCache::default(),
            load_reported: claimed,
            passed_over_reported: MonoTime::default(),
            waits_sampled: MonoTime::default(),
            delay_reported: MonoTime::default(),
            new_waited: MonoTime::default(),
            longest_wait_reported: MonoTime::default(),
        }
    }

    /// Epoch of the owner, which is the fencing token of its requests to workers.
    #[must_use]
    pub const fn epoch(&self) -> CellEpoch {
        self.epoch
    }

    /// Whether a worker has reported an owner with a higher epoch.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Applies a configuration, unless its version is older than the current one.
    pub fn configure(&mut self, config: Arc<DeployedConfig>) {
        if config.version >= self.config.version {
            self.config = config;
        }
    }

    /// Sets the availability zones that get no new tasks.
    pub fn set_zones_out(&mut self, zones: &[ZoneName]) {
        if self.zones_out != zones {
            self.zones_out = zones.to_vec();
        }
    }

    /// Sets the number of cells, this one included.
    pub const fn set_cells(&mut self, cells: u16) {
        self.cells = cells;
    }

    /// Sets which long-running tasks of other cells have to run again and find no worker:
    /// those for which first runs wait, and those for which they do not any more.
    pub fn set_restarts_elsewhere(&mut self, restarts: Vec<RestartNeed>, late: Vec<RestartNeed>) {
        self.restarts_elsewhere = restarts;
        self.late_restarts_elsewhere = late;
    }

    /// Takes the effects that were released since the latest call.
    #[must_use]
    pub fn take_effects(&mut self) -> Vec<OwnerEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes the decisions that were made since the latest call.
    #[must_use]
    pub fn take_decisions(&mut self) -> Vec<DecisionEvent> {
        std::mem::take(&mut self.decisions)
    }

    /// Number of jobs and number of workers, in this order.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.workers.len())
    }

    /// All known workers with their runs.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerName, &TrackedWorker)> {
        self.workers
            .iter()
            .map(|(name, tracked)| (name, &**tracked))
    }
}
