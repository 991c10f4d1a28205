//! Stores the owner's batches.

mod batch_rows;
mod job_part;
mod part_outcome;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::QueueCount;

use crate::context::EntryContext;
use crate::owner::LayoutChange;
use crate::owner::OwnerEvent;
use crate::owner::OwnershipClaim;
use crate::owner::RemovedJob;
use crate::owner::WriteOutcome;
use crate::owner::WriteRequest;
use crate::owner::commit_writer::job_part::JobPart;
use crate::owner::commit_writer::part_outcome::PartOutcome;
use crate::ports::CommitAnswer;
use crate::ports::RowGuard;
use crate::ports::RowWrite;
use crate::ports::StoreCallError;
use crate::ports::StoreCommit;
use crate::ports::StoredRow;
use crate::store::OwnershipRow;
use crate::store::RowCodec;
use crate::store::RowKeys;
use crate::watching::RetryBackoff;

pub use batch_rows::BatchRows;

/// The upper bound of the timeout of one commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Stores batches in order, each guarded by the ownership row of the cell.
///
/// A commit without an answer is repeated until its outcome is certain. Only this
/// writer changes the ownership row at its revision, so if a repeated commit is refused
/// and the row carries its write number, the earlier call has stored it.
pub struct CommitWriter {
    context: Arc<EntryContext>,
    claim: OwnershipClaim,
    last_counts: Option<Vec<QueueCount>>,
}

impl CommitWriter {
    /// Creates the writer of the owner that holds `claim`.
    pub const fn new(context: Arc<EntryContext>, claim: OwnershipClaim) -> Self {
        Self {
            context,
            claim,
            last_counts: None,
        }
    }

    /// Serves requests in order until the channel closes or another daemon owns the cell.
    pub fn run(mut self, requests: &Receiver<WriteRequest>, events: &Sender<OwnerEvent>) {
        for request in requests {
            let batch = match request {
                WriteRequest::Batch(batch) => batch,
                WriteRequest::Layout(change) => {
                    self.extend_layout(&change);
                    continue;
                }
            };
            let outcome = self.store(&batch);
            let is_deposed = outcome == WriteOutcome::Deposed;
            if events.send(OwnerEvent::Stored(outcome)).is_err() || is_deposed {
                return;
            }
        }
    }

    /// Stores a batch, in several commits when it has more rows than one can carry. The
    /// moves and transfers of each job have a commit of their own, after the rows that the
    /// effects of the batch depend on.
    fn store(&mut self, batch: &CommitBatch) -> WriteOutcome {
        let mut rows = BatchRows::of(self.claim.cell, batch, &mut self.last_counts);
        let parts = JobPart::all_of(self.claim.cell, batch);
        let mut removed = Vec::new();
        loop {
            let (writes, removals, forgotten) = rows.take_commit();
            let is_released = batch.is_last && rows.is_empty() && parts.is_empty();
            let outcome = self.store_part((writes, removals, Vec::new()), is_released, batch);
            if outcome != PartOutcome::Stored {
                return WriteOutcome::Deposed;
            }
            removed.extend(forgotten.into_iter().map(|job| self.removed_now(job)));
            if rows.is_empty() {
                break;
            }
        }
        self.store_job_parts(parts, removed, batch)
    }

    /// A job that the latest commit has removed.
    const fn removed_now(&self, job: JobIdentity) -> RemovedJob {
        let revision = self.claim.revision;
        RemovedJob { job, revision }
    }

    /// Stores the moves and transfers of a batch, which has `removed` other jobs before.
    fn store_job_parts(
        &mut self,
        parts: Vec<JobPart>,
        mut removed: Vec<RemovedJob>,
        batch: &CommitBatch,
    ) -> WriteOutcome {
        let mut refused = Vec::new();
        let count = parts.len();
        for (index, part) in parts.into_iter().enumerate() {
            let is_released = batch.is_last && index + 1 == count;
            let rows = (part.writes, part.removals, part.guards);
            match self.store_part(rows, is_released, batch) {
                PartOutcome::Stored if part.is_move => removed.push(self.removed_now(part.job)),
                PartOutcome::Stored => {}
                PartOutcome::GuardFailed => refused.push(part.job),
                PartOutcome::Deposed => return WriteOutcome::Deposed,
            }
        }
        WriteOutcome::Stored { removed, refused }
    }

    /// Stores one guarded commit of a batch, whose rows are its writes, removals and further
    /// guards. `is_released` says whether it releases the ownership.
    fn store_part(
        &mut self,
        (mut writes, removals, mut guards): (Vec<RowWrite>, Vec<String>, Vec<RowGuard>),
        is_released: bool,
        batch: &CommitBatch,
    ) -> PartOutcome {
        let cell = self.claim.cell;
        let document = self.context.copies.report();
        let row = self.claim.next_row(is_released, batch, document);
        writes.push(OwnershipClaim::write_of(cell, &row));
        guards.push(self.claim.guard());
        let commit = StoreCommit {
            guards,
            writes,
            removals,
        };
        let mut backoff = RetryBackoff::default();
        let began = Instant::now();
        let mut attempts: u32 = 0;
        loop {
            attempts += 1;
            let started = Instant::now();
            let result = self.context.commit_rows(&commit, COMMIT_TIMEOUT);
            match result {
                Ok(CommitAnswer::Stored { revision }) => {
                    if attempts > 1 {
                        let took_ms = began.elapsed().as_millis();
                        tracing::info!(
                            %cell, epoch = row.epoch, attempts, took_ms,
                            "batch stored after retries"
                        );
                    }
                    self.claim = OwnershipClaim {
                        cell,
                        row,
                        revision,
                    };
                    return PartOutcome::Stored;
                }
                Ok(CommitAnswer::Refused { rows }) => return self.resolve_refusal(row, &rows),
                Err(StoreCallError::NotDone) => thread::sleep(backoff.next_delay()),
                Err(_) => thread::sleep(backoff.remaining_delay(started.elapsed())),
            }
        }
    }

    /// Determines from the current ownership row whether an earlier call stored the
    /// write.
    fn resolve_refusal(&mut self, row: OwnershipRow, rows: &[StoredRow]) -> PartOutcome {
        let cell = self.claim.cell;
        let key = RowKeys::ownership(cell);
        let Some(found) = rows.iter().find(|found| found.key == key) else {
            return PartOutcome::Deposed;
        };
        if found.revision == self.claim.revision {
            return PartOutcome::GuardFailed;
        }
        let stored = OwnershipRow::decode(&found.value);
        if stored.as_ref() != Some(&row) {
            let next = stored.as_ref();
            tracing::warn!(
                %cell,
                epoch = row.epoch,
                next_epoch = next.map(|next| next.epoch),
                next_daemon = next.map(|next| &*next.daemon),
                "another daemon has written the row of the cell"
            );
            return PartOutcome::Deposed;
        }
        self.claim = OwnershipClaim {
            cell,
            row,
            revision: found.revision,
        };
        PartOutcome::Stored
    }

    /// Extends the layout of cells. If this fails, the owner proposes it again from the
    /// layout that it then reads.
    fn extend_layout(&self, change: &LayoutChange) {
        let commit = StoreCommit {
            guards: vec![RowGuard {
                key: RowKeys::layout().to_owned(),
                revision: change.revision,
            }],
            writes: vec![RowWrite {
                key: RowKeys::layout().to_owned(),
                value: RowCodec::encode(&change.layout),
            }],
            removals: Vec::new(),
        };
        let cells = change.layout.cells();
        match self.context.commit_rows(&commit, COMMIT_TIMEOUT) {
            Ok(CommitAnswer::Stored { revision }) => {
                tracing::info!(cells, revision, "layout of cells extended");
            }
            Ok(CommitAnswer::Refused { .. }) => {
                tracing::info!(cells, "layout of cells was extended by another owner");
            }
            Err(fault) => tracing::warn!(cells, %fault, "cannot extend the layout of cells"),
        }
    }
}
