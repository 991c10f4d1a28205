//! Phase of an owner whose claim is in the journal.

use crate::journal::CellTransition;
use crate::journal::JournalEntry;
use crate::owner::AssignmentIndex;
use crate::owner::AttemptStart;
use crate::owner::AttemptStop;
use crate::owner::DecisionLog;
use crate::owner::MemoryPeaks;
use crate::owner::SettlingAttempt;
use crate::owner::ThrottleRequest;
use crate::owner::cell_worker::CellWorker;
use crate::planner::StartPlanner;
use crate::pressure::PressureTracker;
use crate::shares::ShareTracker;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// The cell is owned, as far as the owner knows; only a commit can prove otherwise.
#[derive(Debug, Default)]
pub struct OwningPhase {
    /// Workers that were listed and are not gone.
    pub(super) workers: SortedTable<WorkerName, CellWorker>,
    /// The assigned tasks of the state, by worker.
    pub(super) assigned: AssignmentIndex,
    /// Peak memory of the attempts of assigned tasks.
    pub(super) memory: MemoryPeaks,
    /// Changes applied to the state but not handed out in a batch.
    pub(super) pending: Vec<CellTransition>,
    /// The entry handed out to be committed whose outcome is not known yet.
    pub(super) in_flight: Option<JournalEntry>,
    /// Starts whose assignments are not in a batch yet.
    pub(super) withheld: Vec<AttemptStart>,
    /// Starts whose assignments are in the entry in flight.
    pub(super) starts_in_flight: Vec<AttemptStart>,
    /// Ended attempts, with the entry that has to be in the journal before the worker may
    /// forget them.
    pub(super) settling: SortedTable<SettlingAttempt, JournalSequence>,
    /// When a known worker was first missing from the VM list.
    pub(super) unlisted: SortedTable<WorkerName, MonoTime>,
    /// When the owner first observed that a job had ended.
    pub(super) ended: SortedTable<JobName, MonoTime>,
    pub(super) planner: StartPlanner,
    pub(super) shares: ShareTracker,
    /// Attempts that were asked to stop.
    pub(super) stopping: SortedTable<TaskName, AttemptNumber>,
    pub(super) log: DecisionLog,
    /// Stop requests that the caller has not taken yet.
    pub(super) stops: Vec<AttemptStop>,
    /// Number of running attempts that were asked to stop, except for cancelled jobs.
    pub(super) evictions: u64,
    /// Slowdown of co-located services, and the throttles requested.
    pub(super) pressure: PressureTracker,
    /// Throttle requests that the caller has not taken yet.
    pub(super) throttles: Vec<ThrottleRequest>,
    /// Number of throttles decided.
    pub(super) throttled: u64,
    /// Number of sessions requested of all workers; the source of ordinals.
    pub(super) sessions: u64,
}
