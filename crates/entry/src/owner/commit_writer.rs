//! Stores the owner's batches.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use sapphirestile_jobs::CommitBatch;

use crate::context::EntryContext;
use crate::owner::OwnerEvent;
use crate::owner::OwnershipClaim;
use crate::owner::WriteOutcome;
use crate::ports::CommitAnswer;
use crate::ports::RowWrite;
use crate::ports::StoreCallError;
use crate::ports::StoreCommit;
use crate::ports::StoredRow;
use crate::store::OwnershipRow;
use crate::store::RowCodec;
use crate::store::RowKeys;
use crate::watching::RetryBackoff;

/// The maximum number of rows per commit besides the ownership row and its guard: the
/// store accepts 32 entries in all.
const COMMIT_ROWS_MAX: usize = 30;

/// The upper bound of the timeout of one commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Stores batches in order, each guarded by the ownership row.
///
/// A commit without an answer is repeated until its outcome is certain. Only this
/// writer changes the ownership row at its revision, so if a repeated commit is refused
/// and the row carries its write number, the earlier call has stored it.
pub struct CommitWriter {
    context: Arc<EntryContext>,
    claim: OwnershipClaim,
}

impl CommitWriter {
    /// Creates the writer of the owner that holds `claim`.
    pub const fn new(context: Arc<EntryContext>, claim: OwnershipClaim) -> Self {
        Self { context, claim }
    }

    /// Stores batches in order until the channel closes or another daemon owns the
    /// jobs.
    pub fn run(mut self, batches: &Receiver<CommitBatch>, events: &Sender<OwnerEvent>) {
        let mut last_counts = None;
        for batch in batches {
            let mut writes: Vec<RowWrite> = batch.progress.iter().map(progress_write).collect();
            if last_counts.as_ref() != Some(&batch.counts) {
                writes.push(RowWrite {
                    key: RowKeys::counts().to_owned(),
                    value: RowCodec::encode(&batch.counts),
                });
                last_counts = Some(batch.counts);
            }
            writes.extend(batch.learnt.as_ref().map(|learnt| RowWrite {
                key: RowKeys::learnt().to_owned(),
                value: RowCodec::encode(learnt),
            }));
            let removals = batch.forgotten.iter().flat_map(|identity| {
                [
                    RowKeys::spec(identity),
                    RowKeys::cancellation(identity),
                    RowKeys::progress(identity),
                ]
            });
            let outcome = self.store(writes, removals.collect(), batch.is_last);
            let is_deposed = outcome == WriteOutcome::Deposed;
            if events.send(OwnerEvent::Stored(outcome)).is_err() || is_deposed {
                return;
            }
        }
    }

    /// Stores a batch, in several commits when it has more rows than one can carry.
    fn store(
        &mut self,
        mut writes: Vec<RowWrite>,
        mut removals: Vec<String>,
        is_last: bool,
    ) -> WriteOutcome {
        loop {
            let rows: Vec<RowWrite> = take_front(&mut writes, COMMIT_ROWS_MAX);
            let keys = take_front(&mut removals, COMMIT_ROWS_MAX - rows.len());
            let is_end = writes.is_empty() && removals.is_empty();
            if self.store_part(rows, keys, is_last && is_end) == WriteOutcome::Deposed {
                return WriteOutcome::Deposed;
            }
            if is_end {
                return WriteOutcome::Stored;
            }
        }
    }

    /// Stores one commit of a batch. `is_released` says whether the commit releases the
    /// ownership.
    fn store_part(
        &mut self,
        rows: Vec<RowWrite>,
        removals: Vec<String>,
        is_released: bool,
    ) -> WriteOutcome {
        let row = self.claim.next_row(is_released);
        let mut writes = rows;
        writes.push(OwnershipClaim::write_of(&row));
        let commit = StoreCommit {
            guards: vec![self.claim.guard()],
            writes,
            removals,
        };
        let mut backoff = RetryBackoff::default();
        loop {
            let started = Instant::now();
            let result = self.context.commit_rows(&commit, COMMIT_TIMEOUT);
            match result {
                Ok(CommitAnswer::Stored { revision }) => {
                    self.claim = OwnershipClaim { row, revision };
                    return WriteOutcome::Stored;
                }
                Ok(CommitAnswer::Refused { rows }) => return self.resolve_refusal(row, &rows),
                Err(StoreCallError::NotDone) => thread::sleep(backoff.next_delay()),
                Err(_) => thread::sleep(backoff.remaining_delay(started.elapsed())),
            }
        }
    }

    /// Determines from the current ownership row whether an earlier call stored the
    /// write.
    fn resolve_refusal(&mut self, row: OwnershipRow, rows: &[StoredRow]) -> WriteOutcome {
        let found = rows.iter().find(|found| found.key == RowKeys::ownership());
        let is_ours = |found: &&StoredRow| {
            let stored: Option<OwnershipRow> = RowCodec::decode(&found.value);
            stored.as_ref() == Some(&row)
        };
        match found.filter(is_ours) {
            Some(found) => {
                let revision = found.revision;
                self.claim = OwnershipClaim { row, revision };
                WriteOutcome::Stored
            }
            None => WriteOutcome::Deposed,
        }
    }
}

fn progress_write(
    (identity, progress): &(
        sapphirestile_jobs::JobIdentity,
        sapphirestile_jobs::JobProgress,
    ),
) -> RowWrite {
    RowWrite {
        key: RowKeys::progress(identity),
        value: RowCodec::encode(progress),
    }
}

/// Removes up to `max` items from the front and returns them.
fn take_front<T>(items: &mut Vec<T>, max: usize) -> Vec<T> {
    let rest = items.split_off(items.len().min(max));
    std::mem::replace(items, rest)
}
