//! The durable state of a cell.

mod job_changes;
mod share_changes;
mod task_changes;

use serde::Deserialize;
use serde::Serialize;

use crate::journal::CellTransition;
use crate::journal::EntryBody;
use crate::journal::JournalEntry;
use crate::shares::ShareTotals;
use crate::state::ArrayProgress;
use crate::state::RequestRecord;
use crate::state::TaskEntry;
use crate::state::TransitionError;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::RequestKey;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;

/// The most tasks that one job may have.
pub const TASKS_MAX: u32 = 10_000;

/// The fold of a cell's journal.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::CellState;
///
/// let state = CellState::default();
/// assert_eq!(state.sequence().get(), 0);
/// assert!(state.owner().is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellState {
    sequence: JournalSequence,
    epoch: CellEpoch,
    owner: Option<DaemonIdentity>,
    jobs: SortedTable<JobName, ArrayProgress>,
    tasks: SortedTable<TaskName, TaskEntry>,
    records: SortedTable<RequestKey, RequestRecord>,
    /// The highest attempt number of all forgotten tasks. A worker may still hold such an
    /// attempt, so new jobs number their attempts after it, even under a reused name.
    forgotten_attempt: AttemptNumber,
    /// Shares that this cell lends, by customer and borrower.
    lent: SortedTable<CustomerName, SortedTable<CellNumber, ShareTotals>>,
    /// Shares that this cell borrows, by customer.
    borrowed: SortedTable<CustomerName, ShareTotals>,
}

impl CellState {
    /// Sequence number of the latest entry applied.
    #[must_use]
    pub const fn sequence(&self) -> JournalSequence {
        self.sequence
    }

    /// Epoch of the latest claim.
    #[must_use]
    pub const fn epoch(&self) -> CellEpoch {
        self.epoch
    }

    /// The owning daemon; `None` before the first claim and after a release.
    #[must_use]
    pub const fn owner(&self) -> Option<&DaemonIdentity> {
        self.owner.as_ref()
    }

    /// Jobs by name, including ended jobs that are not forgotten yet.
    #[must_use]
    pub const fn jobs(&self) -> &SortedTable<JobName, ArrayProgress> {
        &self.jobs
    }

    /// Tasks by name, including ended tasks of jobs that are not forgotten yet.
    #[must_use]
    pub const fn tasks(&self) -> &SortedTable<TaskName, TaskEntry> {
        &self.tasks
    }

    /// Records of non-idempotent requests, by idempotency key.
    #[must_use]
    pub const fn records(&self) -> &SortedTable<RequestKey, RequestRecord> {
        &self.records
    }

    /// Applies the next journal entry.
    ///
    /// # Panics
    ///
    /// When the entry is not the next one, was not written by the owner, or holds a
    /// transition that cannot be applied: a journal cannot hold such an entry.
    pub fn fold(&mut self, entry: &JournalEntry) {
        self.check_order(entry);
        match &entry.body {
            EntryBody::Claim => {
                self.owner = Some(entry.writer.clone());
                self.epoch = CellEpoch::new(entry.sequence.get());
            }
            EntryBody::Release => self.owner = None,
            EntryBody::Batch(transitions) => self.fold_batch(transitions),
        }
        self.sequence = entry.sequence;
    }

    /// Advances past an entry whose transitions were already applied one by one.
    pub(crate) fn advance_past(&mut self, entry: &JournalEntry) {
        self.check_order(entry);
        self.sequence = entry.sequence;
    }

    /// Applies one transition.
    ///
    /// # Errors
    ///
    /// [`TransitionError`] when the transition cannot be applied; the state is then unchanged.
    pub fn apply(&mut self, transition: &CellTransition) -> Result<(), TransitionError> {
        match transition {
            CellTransition::JobSubmitted(spec) => self.submit_job(spec),
            CellTransition::JobCancelled(job) => self.cancel_job(job),
            CellTransition::TaskAssigned {
                task,
                attempt,
                worker,
                size,
            } => {
                self.check_assignable(task, *attempt)?;
                self.replace(task, |entry| match entry {
                    TaskEntry::Waiting(cycle) => {
                        TaskEntry::Assigned(cycle.assign(*attempt, worker, *size))
                    }
                    other => other,
                });
                Ok(())
            }
            CellTransition::TaskCheckpointed {
                task,
                attempt,
                checkpoint_ms,
            } => self.move_assigned(task, *attempt, |cycle| {
                TaskEntry::Assigned(cycle.checkpoint(*checkpoint_ms))
            }),
            CellTransition::TaskReturned {
                task,
                attempt,
                checkpoint_ms,
                failed,
            } => self.requeue_task(task, *attempt, *checkpoint_ms, *failed),
            CellTransition::TaskEnded {
                task,
                attempt,
                outcome,
            } => {
                self.move_assigned(task, *attempt, |cycle| {
                    TaskEntry::Ended(cycle.end(*outcome))
                })?;
                self.count_ended(&task.job, 1);
                Ok(())
            }
            CellTransition::RequestRecorded { key, record } => self.record_request(key, record),
            CellTransition::RequestWithdrawn(key) => {
                let known = self.records.remove(key);
                known.map(|_| ()).ok_or(TransitionError::UnknownRequest)
            }
            CellTransition::JobForgotten(job) => self.forget_job(job),
            CellTransition::ShareLent {
                customer,
                borrower,
                total,
            } => self.lend_share(customer, *borrower, total),
            CellTransition::ShareRegained {
                customer,
                borrower,
                total,
            } => self.regain_share(customer, *borrower, total),
            CellTransition::ShareBorrowed { customer, total } => self.borrow_share(customer, total),
            CellTransition::ShareReturned { customer, total } => self.return_share(customer, total),
            CellTransition::RecordsForgotten { before_unix_s } => {
                self.records
                    .retain(|_, record| record.recorded_unix_s >= *before_unix_s);
                Ok(())
            }
        }
    }

    fn check_order(&self, entry: &JournalEntry) {
        assert_eq!(
            entry.sequence,
            self.sequence.next(),
            "a journal entry is out of sequence"
        );
        let claims = matches!(entry.body, EntryBody::Claim);
        let owns = self.owner.as_ref() == Some(&entry.writer);
        assert!(
            claims || owns,
            "journal entry {} was written by {}, but the cell is owned by {:?}",
            entry.sequence,
            entry.writer,
            self.owner
        );
    }

    fn fold_batch(&mut self, transitions: &[CellTransition]) {
        for transition in transitions {
            let applied = self.apply(transition);
            assert!(
                applied.is_ok(),
                "a journal entry holds a transition that cannot be applied: {applied:?}"
            );
        }
    }

    fn record_request(
        &mut self,
        key: &RequestKey,
        record: &RequestRecord,
    ) -> Result<(), TransitionError> {
        if self.records.contains(key) {
            return Err(TransitionError::AlreadyRecorded);
        }
        self.records.insert(key.clone(), record.clone());
        Ok(())
    }
}
