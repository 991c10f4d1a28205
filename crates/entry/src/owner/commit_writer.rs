//! Has batches stored.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use sapphirestile_jobs::CommitBatch;

use crate::context::EntryContext;
use crate::following::RetryPause;
use crate::owner::OwnedHead;
use crate::owner::OwnerEvent;
use crate::owner::WriteOutcome;
use crate::ports::CommitAnswer;
use crate::ports::RowWrite;
use crate::ports::StoreCommit;
use crate::ports::StoreFault;
use crate::ports::StoredRow;
use crate::store::HeadRow;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The most rows of one commit beside the head row and its guard: the store takes 32
/// entries in all.
const ROWS_MAX: usize = 30;

/// The longest that one call may take.
const CALL_TIMEOUT_MAX: Duration = Duration::from_secs(1);

/// Has batches stored, one after the other, each guarded by the head row.
///
/// A call without an answer is repeated until its fate is certain: only this writer
/// changes the head row at its revision, so a refused repetition whose row carries
/// the number of the write was done by the call before.
pub struct CommitWriter {
    context: Arc<EntryContext>,
    head: OwnedHead,
}

impl CommitWriter {
    /// A writer of the owner of `head`.
    pub const fn new(context: Arc<EntryContext>, head: OwnedHead) -> Self {
        Self { context, head }
    }

    /// Stores batches as they come, until there are no more or another daemon owns
    /// the jobs.
    pub fn run(mut self, batches: &Receiver<CommitBatch>, events: &Sender<OwnerEvent>) {
        let mut counts = None;
        for batch in batches {
            let mut writes: Vec<RowWrite> = batch.records.iter().map(record_write).collect();
            if counts.as_ref() != Some(&batch.counts) {
                writes.push(RowWrite {
                    key: RowKeys::counts().to_owned(),
                    value: RowCodec::encode(&batch.counts),
                });
                counts = Some(batch.counts);
            }
            writes.extend(batch.learnt.as_ref().map(|learnt| RowWrite {
                key: RowKeys::learnt().to_owned(),
                value: RowCodec::encode(learnt),
            }));
            let removals = batch.forgotten.iter().flat_map(|identity| {
                [
                    RowKeys::order(identity),
                    RowKeys::cancellation(identity),
                    RowKeys::record(identity),
                ]
            });
            let outcome = self.store(writes, removals.collect(), batch.is_last);
            let is_deposed = outcome == WriteOutcome::Deposed;
            if events.send(OwnerEvent::Stored(outcome)).is_err() || is_deposed {
                return;
            }
        }
    }

    fn store(
        &mut self,
        mut writes: Vec<RowWrite>,
        mut removals: Vec<String>,
        is_last: bool,
    ) -> WriteOutcome {
        loop {
            let rows: Vec<RowWrite> = take_front(&mut writes, ROWS_MAX);
            let keys = take_front(&mut removals, ROWS_MAX - rows.len());
            let is_end = writes.is_empty() && removals.is_empty();
            if self.store_part(rows, keys, is_last && is_end) == WriteOutcome::Deposed {
                return WriteOutcome::Deposed;
            }
            if is_end {
                return WriteOutcome::Stored;
            }
        }
    }

    fn store_part(
        &mut self,
        rows: Vec<RowWrite>,
        removals: Vec<String>,
        is_released: bool,
    ) -> WriteOutcome {
        let row = self.head.next_row(is_released);
        let mut writes = rows;
        writes.push(OwnedHead::write_of(&row));
        let commit = StoreCommit {
            guards: vec![self.head.guard()],
            writes,
            removals,
        };
        let mut pause = RetryPause::default();
        loop {
            let result = self.context.commit_rows(&commit, CALL_TIMEOUT_MAX);
            match result {
                Ok(CommitAnswer::Stored { revision }) => {
                    self.head = OwnedHead { row, revision };
                    return WriteOutcome::Stored;
                }
                Ok(CommitAnswer::Refused { rows }) => return self.settle(row, &rows),
                Err(StoreFault::NotDone) => thread::sleep(pause.after_fault()),
                Err(_) => {}
            }
        }
    }

    /// Finds out from the head row as it is whether the write was done.
    fn settle(&mut self, row: HeadRow, rows: &[StoredRow]) -> WriteOutcome {
        let found = rows.iter().find(|found| found.key == RowKeys::head());
        let is_ours = |found: &&StoredRow| {
            let stored: Option<HeadRow> = RowCodec::decode(&found.value);
            stored.as_ref() == Some(&row)
        };
        match found.filter(is_ours) {
            Some(found) => {
                let revision = found.revision;
                self.head = OwnedHead { row, revision };
                WriteOutcome::Stored
            }
            None => WriteOutcome::Deposed,
        }
    }
}

fn record_write(
    (identity, record): &(
        sapphirestile_jobs::JobIdentity,
        sapphirestile_jobs::JobProgress,
    ),
) -> RowWrite {
    RowWrite {
        key: RowKeys::record(identity),
        value: RowCodec::encode(record),
    }
}

fn take_front<T>(items: &mut Vec<T>, most: usize) -> Vec<T> {
    let rest = items.split_off(items.len().min(most));
    std::mem::replace(items, rest)
}
