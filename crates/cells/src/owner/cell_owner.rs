//! The owner of a cell, in each phase of its ownership.

mod answer_merging;
mod batch_commits;
mod pressure_decisions;
mod retention;
mod share_borrowing;
mod share_lending;
mod start_planning;
mod task_proposals;
mod worker_list;
mod worker_reports;

pub use worker_list::LIST_LAG_MAX_MS;

use crate::journal::ArraySpec;
use crate::journal::CellTransition;
use crate::journal::EntryBody;
use crate::journal::JournalEntry;
use crate::owner::AssignmentIndex;
use crate::owner::ClaimingPhase;
use crate::owner::DecisionLog;
use crate::owner::OwningPhase;
use crate::state::CellState;
use crate::state::RequestRecord;
use crate::state::TaskEntry;
use crate::state::TransitionError;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::RequestKey;

/// The most open tasks of a cell: with this many, a snapshot still fits a row of the
/// store.
pub const OPEN_TASKS_MAX: u32 = 15_000;
/// The most request records of a cell, for the same reason.
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
/// let owner = claiming.claimed();
/// assert_eq!(owner.state().epoch().get(), 1);
/// ```
#[derive(Debug)]
pub struct CellOwner<Phase> {
    cell: CellNumber,
    identity: DaemonIdentity,
    state: CellState,
    phase: Phase,
}

impl<Phase> CellOwner<Phase> {
    /// Number of the owned or claimed cell.
    #[must_use]
    pub const fn cell(&self) -> CellNumber {
        self.cell
    }

    /// The cell's state, including changes that are not in the journal yet.
    #[must_use]
    pub const fn state(&self) -> &CellState {
        &self.state
    }
}

impl CellOwner<ClaimingPhase> {
    /// Starts to claim a cell whose journal folds to `state`.
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

    /// The claim entry to commit.
    #[must_use]
    pub const fn entry(&self) -> &JournalEntry {
        &self.phase.entry
    }

    /// Moves to the owning phase. Call this once the claim is in the journal.
    #[must_use]
    pub fn claimed(mut self) -> CellOwner<OwningPhase> {
        self.state.fold(&self.phase.entry);
        let Self {
            cell,
            identity,
            state,
            ..
        } = self;
        let mut phase = OwningPhase {
            assigned: AssignmentIndex::of(&state),
            ..OwningPhase::default()
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

impl CellOwner<OwningPhase> {
    /// Epoch of this claim, which fences requests to workers.
    #[must_use]
    pub const fn epoch(&self) -> CellEpoch {
        self.state.epoch()
    }

    /// Number of running attempts that were asked to stop for urgent work, for services,
    /// or because the worker or its zone is taken out.
    #[must_use]
    pub const fn evictions(&self) -> u64 {
        self.phase.evictions
    }

    /// Submits a job.
    ///
    /// # Errors
    ///
    /// [`TransitionError::AlreadySubmitted`] when the same job is known, and another
    /// variant when it cannot be accepted.
    pub fn submit_job(&mut self, spec: &ArraySpec) -> Result<(), TransitionError> {
        let known = self.state.jobs().contains(&spec.job);
        if !known && self.open_tasks().saturating_add(spec.tasks) > OPEN_TASKS_MAX {
            return Err(TransitionError::QueueFull);
        }
        self.propose(CellTransition::JobSubmitted(spec.clone()))
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// When the job is unknown or was cancelled before.
    pub fn cancel_job(&mut self, job: &JobName) -> Result<(), TransitionError> {
        self.propose(CellTransition::JobCancelled(job.clone()))
    }

    /// Withdraws the record of a request that was not run. The nonce identifies the
    /// record: a late or repeated withdrawal does not remove a later record.
    ///
    /// # Errors
    ///
    /// [`TransitionError::UnknownRequest`] when there is no such record.
    pub fn withdraw_request(
        &mut self,
        key: &RequestKey,
        nonce: u64,
    ) -> Result<(), TransitionError> {
        let record = self.state.records().get(key);
        if record.is_none_or(|record| record.nonce != nonce) {
            return Err(TransitionError::UnknownRequest);
        }
        self.propose(CellTransition::RequestWithdrawn(key.clone()))
    }

    /// Records a non-idempotent request before it is sent.
    ///
    /// # Errors
    ///
    /// [`TransitionError::AlreadyRecorded`] when its key was recorded before, and
    /// [`TransitionError::QueueFull`] when the cell can keep no more records.
    pub fn record_request(
        &mut self,
        key: &RequestKey,
        record: &RequestRecord,
    ) -> Result<(), TransitionError> {
        let known = self.state.records().contains(key);
        if !known && self.state.records().len() >= RECORDS_MAX {
            return Err(TransitionError::QueueFull);
        }
        let (key, record) = (key.clone(), record.clone());
        self.propose(CellTransition::RequestRecorded { key, record })
    }

    /// Whether every change is in the journal and no session or start is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let calling = self
            .phase
            .workers
            .values()
            .any(|tracked| tracked.awaiting_answer || tracked.starts > 0);
        self.phase.in_flight.is_none() && self.phase.pending.is_empty() && !calling
    }

    /// The entry that releases the cell.
    ///
    /// # Panics
    ///
    /// When [`CellOwner::is_idle`] is false.
    #[must_use]
    pub fn release(self, nonce: u64) -> JournalEntry {
        assert!(
            self.is_idle(),
            "a cell was released with changes or calls in flight"
        );
        let sequence = self.state.sequence().next();
        JournalEntry {
            sequence,
            writer: self.identity,
            nonce,
            body: EntryBody::Release,
        }
    }

    /// Whether the entry just committed is to be followed by a snapshot: one is due every
    /// `entries` entries.
    #[must_use]
    pub const fn snapshot_due(&self, entries: u64) -> bool {
        self.state.sequence().get().is_multiple_of(entries)
    }

    /// Sequence of the entry that will hold the latest proposed change.
    #[must_use]
    pub fn last_proposed(&self) -> JournalSequence {
        let mut sequence = self.state.sequence();
        if self.phase.in_flight.is_some() {
            sequence = sequence.next();
        }
        if !self.phase.pending.is_empty() {
            sequence = sequence.next();
        }
        sequence
    }

    /// Number of proposed changes that are not in a batch yet.
    #[must_use]
    pub const fn pending_changes(&self) -> usize {
        self.phase.pending.len()
    }

    /// The latest decisions, for explanations to callers.
    #[must_use]
    pub const fn decisions(&self) -> &DecisionLog {
        &self.phase.log
    }

    /// Whether any task waits for a worker.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        let mut tasks = self.state.tasks().values();
        tasks.any(|entry| matches!(entry, TaskEntry::Waiting(_)))
    }

    /// Whether an entry was taken and its outcome is not known yet.
    #[must_use]
    pub const fn has_entry_in_flight(&self) -> bool {
        self.phase.in_flight.is_some()
    }

    /// Sequence of the latest entry known to be in the journal.
    #[must_use]
    pub const fn sequence(&self) -> JournalSequence {
        self.state.sequence()
    }

    fn open_tasks(&self) -> u32 {
        let jobs = self.state.jobs().values();
        jobs.map(|progress| progress.open_tasks).sum()
    }
}
