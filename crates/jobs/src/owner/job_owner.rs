//! The owner of the jobs and workers of a cell.

mod advising;
mod assigning;
mod batches;
mod gangs;
mod intake;
mod lapses;
mod learning;
mod looks;
mod orders;
mod paces;
mod planning;
mod results;
mod stragglers;
mod worker_list;

use std::sync::Arc;

use crate::advice::AdviceBook;
use crate::order::JobIdentity;
use crate::owner::DecisionNote;
use crate::owner::HeldEffect;
use crate::owner::JobEntry;
use crate::owner::OwnerEffect;
use crate::owner::OwnerLimits;
use crate::owner::WaitKey;
use crate::pacing::DisturbanceBook;
use crate::pacing::ImageTable;
use crate::planner::DurationBook;
use crate::policy::DeployedConfig;
use crate::worker::WorkerView;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

/// The owner of the jobs and workers of a cell, from its claim to its end.
#[derive(Debug)]
pub struct JobOwner {
    epoch: CellEpoch,
    limits: OwnerLimits,
    config: Arc<DeployedConfig>,
    zones_out: Vec<ZoneName>,
    jobs: SortedTable<JobIdentity, Box<JobEntry>>,
    workers: SortedTable<WorkerName, Box<WorkerView>>,
    /// The jobs with a task that can start.
    waiting: SortedTable<WaitKey, ()>,
    /// Repeated jobs with occurrences that are not due yet.
    repeating: Vec<JobIdentity>,
    /// The jobs whose records changed since the latest batch.
    changed: SortedTable<JobIdentity, ()>,
    forgotten: Vec<JobIdentity>,
    /// What waits for the next batch.
    held: Vec<HeldEffect>,
    /// What waits for the batch that is being stored.
    storing: Option<Vec<HeldEffect>>,
    effects: Vec<OwnerEffect>,
    notes: Vec<DecisionNote>,
    /// When the latest batch that was stored, or the claim, was sent.
    authority: MonoTime,
    sent: MonoTime,
    claimed: MonoTime,
    is_deposed: bool,
    /// Whether more workers may be given tasks with callers, found out once a pass and
    /// after each such task.
    may_open: bool,
    images: ImageTable,
    disturbance: DisturbanceBook,
    durations: DurationBook,
    /// When what was learnt was last put into a batch.
    learnt_sent: MonoTime,
    advice: AdviceBook,
}

impl JobOwner {
    /// An owner whose claim was sent at `claimed` and is stored.
    #[must_use]
    pub fn new(
        epoch: CellEpoch,
        limits: OwnerLimits,
        config: Arc<DeployedConfig>,
        zones_out: Vec<ZoneName>,
        claimed: MonoTime,
    ) -> Self {
        Self {
            epoch,
            limits,
            config,
            zones_out,
            jobs: SortedTable::new(),
            workers: SortedTable::new(),
            waiting: SortedTable::new(),
            repeating: Vec::new(),
            changed: SortedTable::new(),
            forgotten: Vec::new(),
            held: Vec::new(),
            storing: None,
            effects: Vec::new(),
            notes: Vec::new(),
            authority: claimed,
            sent: claimed,
            claimed,
            is_deposed: false,
            may_open: true,
            images: ImageTable::default(),
            disturbance: DisturbanceBook::default(),
            durations: DurationBook::default(),
            learnt_sent: claimed,
            advice: AdviceBook::default(),
        }
    }

    /// The owner's epoch, the fencing token of its orders.
    #[must_use]
    pub const fn epoch(&self) -> CellEpoch {
        self.epoch
    }

    /// Whether another owner has taken over.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Brings a configuration into force.
    pub fn configure(&mut self, config: Arc<DeployedConfig>) {
        if config.version >= self.config.version {
            self.config = config;
        }
    }

    /// Says which availability zones get no new tasks.
    pub fn set_zones_out(&mut self, zones: &[ZoneName]) {
        if self.zones_out != zones {
            self.zones_out = zones.to_vec();
        }
    }

    /// What is to be done now.
    #[must_use]
    pub fn take_effects(&mut self) -> Vec<OwnerEffect> {
        std::mem::take(&mut self.effects)
    }

    /// What was decided since the latest call.
    #[must_use]
    pub fn take_notes(&mut self) -> Vec<DecisionNote> {
        std::mem::take(&mut self.notes)
    }

    /// How many jobs the owner looks after, and how many workers.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.workers.len())
    }

    /// The workers, for a dump.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerName, &WorkerView)> {
        self.workers.iter().map(|(name, view)| (name, &**view))
    }
}
