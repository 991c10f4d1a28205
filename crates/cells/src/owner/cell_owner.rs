//! The owner of a cell, in each phase of its ownership.

mod answer_merging;
mod batch_commits;
mod forgetting;
mod pressure_steps;
mod share_borrowing;
mod share_lending;
mod start_planning;
mod task_proposals;
mod worker_list;
mod worker_reports;

pub use worker_list::LIST_LAG_MAX_MS;

use crate::journal::CellTransition;
use crate::journal::EntryBody;
use crate::journal::JobOrder;
use crate::journal::JournalEntry;
use crate::owner::AssignedBook;
use crate::owner::ClaimingPhase;
use crate::owner::DecisionLog;
use crate::owner::OpenPhase;
use crate::state::CellState;
use crate::state::RequestRecord;
use crate::state::TaskEntry;
use crate::state::TransitionFault;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::RequestKey;

/// The most tasks of a cell that have not ended: a snapshot of them fits a row of
/// the store.
pub const OPEN_TASKS_MAX: u32 = 15_000;
const RECORDS_MAX: usize = 4_000;

/// The owner of a cell in one phase of its ownership.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::CellOwner;
/// use sapphirestile_cells::CellState;
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_core::CellNumber;
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
///
/// let daemon = DaemonName::try_from("entry-1").unwrap();
/// let identity = DaemonIdentity { daemon, incarnation: IncarnationNumber::new(1) };
/// let claiming = CellOwner::claim(CellNumber::new(0), identity, CellState::default(), 77);
/// assert_eq!(claiming.entry().sequence.get(), 1);
/// let open = claiming.claimed();
/// assert_eq!(open.state().epoch().get(), 1);
/// ```
#[derive(Debug)]
pub struct CellOwner<Phase> {
    cell: CellNumber,
    identity: DaemonIdentity,
    state: CellState,
    phase: Phase,
}

impl<Phase> CellOwner<Phase> {
    /// The cell.
    #[must_use]
    pub const fn cell(&self) -> CellNumber {
        self.cell
    }

    /// The cell's state, with changes that are not in the journal yet.
    #[must_use]
    pub const fn state(&self) -> &CellState {
        &self.state
    }
}

impl CellOwner<ClaimingPhase> {
    /// Claims a cell whose journal folds to `state`.
    #[must_use]
    pub fn claim(cell: CellNumber, identity: DaemonIdentity, state: CellState, nonce: u64) -> Self {
        let sequence = state.sequence().next();
        let body = EntryBody::Claim;
        let entry = JournalEntry {
            sequence,
            writer: identity.clone(),
            nonce,
            body,
        };
        Self {
            cell,
            identity,
            state,
            phase: ClaimingPhase { entry },
        }
    }

    /// The claim to commit.
    #[must_use]
    pub const fn entry(&self) -> &JournalEntry {
        &self.phase.entry
    }

    /// Takes note that the claim is in the journal.
    #[must_use]
    pub fn claimed(mut self) -> CellOwner<OpenPhase> {
        self.state.fold(&self.phase.entry);
        let Self {
            cell,
            identity,
            state,
            ..
        } = self;
        let mut phase = OpenPhase {
            assigned: AssignedBook::of(&state),
            ..OpenPhase::default()
        };
        phase.shares.committed = state.borrowed().clone();
        CellOwner {
            cell,
            identity,
            state,
            phase,
        }
    }
}

impl CellOwner<OpenPhase> {
    /// The fencing token of this claim.
    #[must_use]
    pub const fn epoch(&self) -> CellEpoch {
        self.state.epoch()
    }

    /// How many running attempts were asked to stop for the worker's sake.
    #[must_use]
    pub const fn evictions(&self) -> u64 {
        self.phase.evictions
    }

    /// Submits a job.
    ///
    /// # Errors
    ///
    /// [`TransitionFault::AlreadySubmitted`] when it is known already, and the
    /// reason when it cannot be taken.
    pub fn submit_job(&mut self, order: &JobOrder) -> Result<(), TransitionFault> {
        let known = self.state.jobs().contains(&order.job);
        if !known && self.open_tasks().saturating_add(order.tasks) > OPEN_TASKS_MAX {
            return Err(TransitionFault::QueueFull);
        }
        self.propose(CellTransition::JobSubmitted(order.clone()))
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// When the job is unknown or was cancelled before.
    pub fn cancel_job(&mut self, job: &JobName) -> Result<(), TransitionFault> {
        self.propose(CellTransition::JobCancelled(job.clone()))
    }

    /// Takes the record of a request back that was not run. The nonce names the
    /// record: a withdrawal that comes late or twice takes no later one away.
    ///
    /// # Errors
    ///
    /// [`TransitionFault::UnknownRequest`] when there is no such record.
    pub fn withdraw_request(
        &mut self,
        key: &RequestKey,
        nonce: u64,
    ) -> Result<(), TransitionFault> {
        let record = self.state.records().get(key);
        if record.is_none_or(|record| record.nonce != nonce) {
            return Err(TransitionFault::UnknownRequest);
        }
        self.propose(CellTransition::RequestWithdrawn(key.clone()))
    }

    /// Records a request that must not run twice.
    ///
    /// # Errors
    ///
    /// [`TransitionFault::AlreadyRecorded`] when its key was recorded before, and
    /// [`TransitionFault::QueueFull`] when the cell can keep no more records.
    pub fn record_request(
        &mut self,
        key: &RequestKey,
        record: &RequestRecord,
    ) -> Result<(), TransitionFault> {
        let known = self.state.records().contains(key);
        if !known && self.state.records().len() >= RECORDS_MAX {
            return Err(TransitionFault::QueueFull);
        }
        let (key, record) = (key.clone(), record.clone());
        self.propose(CellTransition::RequestRecorded { key, record })
    }

    /// Whether every change is in the journal and no call is on its way.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let calling = self
            .phase
            .workers
            .values()
            .any(|view| view.asking || view.starts > 0);
        self.phase.flight.is_none() && self.phase.pending.is_empty() && !calling
    }

    /// The entry that gives the cell up.
    ///
    /// # Panics
    ///
    /// When the owner is not quiet.
    #[must_use]
    pub fn release(self, nonce: u64) -> JournalEntry {
        assert!(
            self.is_quiet(),
            "a cell was released with changes in flight"
        );
        let sequence = self.state.sequence().next();
        JournalEntry {
            sequence,
            writer: self.identity,
            nonce,
            body: EntryBody::Release,
        }
    }

    /// Whether the journal's next entry is to carry a snapshot.
    #[must_use]
    pub const fn snapshot_due(&self, entries: u64) -> bool {
        self.state.sequence().get().is_multiple_of(entries)
    }

    /// The place of the entry that will hold the latest proposed change.
    #[must_use]
    pub fn last_proposed(&self) -> JournalSequence {
        let mut sequence = self.state.sequence();
        if self.phase.flight.is_some() {
            sequence = sequence.next();
        }
        if !self.phase.pending.is_empty() {
            sequence = sequence.next();
        }
        sequence
    }

    /// How many changes wait to be handed out.
    #[must_use]
    pub const fn pending_changes(&self) -> usize {
        self.phase.pending.len()
    }

    /// The latest decisions.
    #[must_use]
    pub const fn decisions(&self) -> &DecisionLog {
        &self.phase.log
    }

    /// Whether a task waits for a worker.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        let mut tasks = self.state.tasks().values();
        tasks.any(|entry| matches!(entry, TaskEntry::Waiting(_)))
    }

    /// Whether an entry was taken whose outcome is not known yet.
    #[must_use]
    pub const fn has_flight(&self) -> bool {
        self.phase.flight.is_some()
    }

    /// The place of the latest entry in the journal.
    #[must_use]
    pub const fn sequence(&self) -> JournalSequence {
        self.state.sequence()
    }

    fn open_tasks(&self) -> u32 {
        let records = self.state.jobs().values();
        records.map(|record| record.open_tasks).sum()
    }
}
