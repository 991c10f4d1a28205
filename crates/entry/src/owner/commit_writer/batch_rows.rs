//! Rows of a batch.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::GuestRemoval;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::QueueCount;

use crate::ports::RowWrite;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The maximum number of rows per commit besides the ownership row and its guard: the
/// store accepts 32 entries in all.
const COMMIT_ROWS_MAX: usize = 30;

/// The number of rows of a job that is no longer retained.
const FORGOTTEN_ROWS: usize = 4;

/// The rows of a batch that are not stored yet.
pub struct BatchRows {
    cell: CellNumber,
    writes: Vec<RowWrite>,
    /// Jobs whose rows are removed, each by one commit.
    forgotten: Vec<JobIdentity>,
    removals: Vec<String>,
}

impl BatchRows {
    /// The rows of a batch of a cell, without its moves and transfers. The counts are left out
    /// if they are those of `last_counts`, which is updated. Other cells are told to end their
    /// tasks of a job before it is stored as ended: the next owner would not tell them. Ends
    /// that were applied are removed once the progress of their jobs is stored.
    pub fn of(
        cell: CellNumber,
        batch: &CommitBatch,
        last_counts: &mut Option<Vec<QueueCount>>,
    ) -> Self {
        let revoked = batch.revoked.iter().map(|(job, other)| RowWrite {
            key: RowKeys::cancellation(*other, job),
            value: Vec::new(),
        });
        let mut writes: Vec<RowWrite> = revoked.collect();
        writes.extend(batch.progress.iter().map(|(job, progress)| RowWrite {
            key: RowKeys::progress(cell, job),
            value: RowCodec::encode(progress),
        }));
        writes.extend(batch.guests.iter().map(|(job, progress)| RowWrite {
            key: RowKeys::guest_progress(cell, job),
            value: RowCodec::encode(progress),
        }));
        writes.extend(batch.unapplied_ends.iter().map(|end| RowWrite {
            key: RowKeys::unapplied_end(cell, &end.ended.task, end.ended.run),
            value: RowCodec::encode(end),
        }));
        if last_counts.as_ref() != Some(&batch.counts) {
            writes.push(RowWrite {
                key: RowKeys::counts(cell),
                value: RowCodec::encode(&batch.counts),
            });
            *last_counts = Some(batch.counts.clone());
        }
        writes.extend(batch.learnt.as_ref().map(|learnt| RowWrite {
            key: RowKeys::learnt(cell),
            value: RowCodec::encode(learnt),
        }));
        let absorbed = batch.absorbed.iter();
        let absorbed = absorbed.map(|(task, run)| RowKeys::returned(cell, task, *run));
        let applied = batch.applied_ends.iter();
        let applied = applied.map(|(task, run)| RowKeys::unapplied_end(cell, task, *run));
        let guests = batch
            .forgotten_guests
            .iter()
            .flat_map(|removal| guest_keys(cell, removal));
        Self {
            cell,
            writes,
            forgotten: batch.forgotten.clone(),
            removals: absorbed.chain(applied).chain(guests).collect(),
        }
    }

    /// Takes the writes and removals of the next commit, and the jobs that it forgets.
    pub fn take_commit(&mut self) -> (Vec<RowWrite>, Vec<String>, Vec<JobIdentity>) {
        let writes = take_front(&mut self.writes, COMMIT_ROWS_MAX);
        let left = COMMIT_ROWS_MAX - writes.len();
        let forgotten = take_front(&mut self.forgotten, left / FORGOTTEN_ROWS);
        let forgotten_keys = forgotten.iter().flat_map(|job| job_keys(self.cell, job));
        let mut removals: Vec<String> = forgotten_keys.collect();
        let left = left - removals.len();
        removals.extend(take_front(&mut self.removals, left));
        (writes, removals, forgotten)
    }

    /// Whether every row was taken.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.forgotten.is_empty() && self.removals.is_empty()
    }
}

/// The keys of the rows of a job.
fn job_keys(cell: CellNumber, job: &JobIdentity) -> [String; FORGOTTEN_ROWS] {
    [
        RowKeys::spec(cell, job),
        RowKeys::cancellation(cell, job),
        RowKeys::progress(cell, job),
        RowKeys::home(job),
    ]
}

/// Removes up to `max` items from the front and returns them.
fn take_front<T>(items: &mut Vec<T>, max: usize) -> Vec<T> {
    let rest = items.split_off(items.len().min(max));
    std::mem::replace(items, rest)
}

/// The keys of the rows of an ended job of another cell.
fn guest_keys(cell: CellNumber, removal: &GuestRemoval) -> Vec<String> {
    let delegated = removal.received.iter();
    let mut keys: Vec<String> = delegated
        .map(|(task, run)| RowKeys::delegated(cell, task, *run))
        .collect();
    keys.push(RowKeys::guest_progress(cell, &removal.job));
    keys.push(RowKeys::cancellation(cell, &removal.job));
    keys
}
