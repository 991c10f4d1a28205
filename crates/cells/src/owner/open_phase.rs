//! The phase of an owner whose claim is in the journal.

use crate::journal::CellTransition;
use crate::journal::JournalEntry;
use crate::owner::AssignedBook;
use crate::owner::DecisionLog;
use crate::owner::MemoryBook;
use crate::owner::SettlingAttempt;
use crate::owner::StartOrder;
use crate::owner::StopOrder;
use crate::owner::ThrottleOrder;
use crate::owner::worker_view::WorkerView;
use crate::planner::StartPlanner;
use crate::pressure::PressureBook;
use crate::shares::ShareBook;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// The cell is owned, as far as the owner knows.
#[derive(Debug, Default)]
pub struct OpenPhase {
    pub(super) workers: SortedTable<WorkerName, WorkerView>,
    /// The assigned tasks of the state, by worker.
    pub(super) assigned: AssignedBook,
    /// What the attempts of assigned tasks were seen to use.
    pub(super) memory: MemoryBook,
    /// Applied to the state, not yet handed out in a batch.
    pub(super) pending: Vec<CellTransition>,
    /// Handed out, with no outcome yet.
    pub(super) flight: Option<JournalEntry>,
    /// Starts whose assignments are not handed out yet.
    pub(super) withheld: Vec<StartOrder>,
    /// Starts whose assignments are in the entry in flight.
    pub(super) flying: Vec<StartOrder>,
    /// Ended attempts that workers may forget once their ends are in the journal.
    pub(super) settling: SortedTable<SettlingAttempt, JournalSequence>,
    /// Since when a known worker has not been on the VM list.
    pub(super) unlisted: SortedTable<WorkerName, MonoTime>,
    /// When the owner first saw that a job had ended.
    pub(super) ended: SortedTable<JobName, MonoTime>,
    pub(super) planner: StartPlanner,
    pub(super) shares: ShareBook,
    /// Attempts that were asked to stop.
    pub(super) stopping: SortedTable<TaskName, AttemptNumber>,
    pub(super) log: DecisionLog,
    pub(super) stops: Vec<StopOrder>,
    pub(super) evictions: u64,
    /// What services beside the workers suffer, and the throttles asked for.
    pub(super) pressure: PressureBook,
    pub(super) throttles: Vec<ThrottleOrder>,
    /// How many throttles were decided.
    pub(super) throttled: u64,
    /// How many sessions were asked for, with whichever worker.
    pub(super) sessions: u64,
}
