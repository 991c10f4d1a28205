//! Moves of jobs to other cells.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::JobMove;

use crate::owner::CommitWriter;
use crate::owner::WriteOutcome;
use crate::owner::commit_writer::part_outcome::PartOutcome;
use crate::ports::RowGuard;
use crate::ports::RowWrite;
use crate::store::RowCodec;
use crate::store::RowKeys;

impl CommitWriter {
    /// Stores the moves of a batch, each in a commit of its own.
    pub(super) fn store_moves(&mut self, batch: &CommitBatch) -> WriteOutcome {
        let mut removed = batch.forgotten.clone();
        let mut refused_moves = Vec::new();
        for (index, job_move) in batch.moves.iter().enumerate() {
            let is_released = batch.is_last && index + 1 == batch.moves.len();
            let rows = move_rows(self.claim.cell, job_move);
            match self.store_part(rows, is_released, batch) {
                PartOutcome::Stored => removed.push(job_move.job),
                PartOutcome::GuardFailed => refused_moves.push(job_move.job),
                PartOutcome::Deposed => return WriteOutcome::Deposed,
            }
        }
        WriteOutcome::Stored {
            revision: self.claim.revision,
            removed,
            refused_moves,
        }
    }
}

/// The writes, removals and guards that move a job, unless it was cancelled. Its rows in one
/// cell are replaced by rows in the other at once, so at no time have two owners the job.
fn move_rows(cell: CellNumber, job_move: &JobMove) -> (Vec<RowWrite>, Vec<String>, Vec<RowGuard>) {
    let (job, target) = (&job_move.job, job_move.target);
    let writes = vec![
        RowWrite {
            key: RowKeys::home(job),
            value: RowCodec::encode(&target),
        },
        RowWrite {
            key: RowKeys::spec(target, job),
            value: RowCodec::encode(&*job_move.spec),
        },
    ];
    let removals = vec![RowKeys::spec(cell, job), RowKeys::progress(cell, job)];
    let guards = vec![RowGuard {
        key: RowKeys::cancellation(cell, job),
        revision: 0,
    }];
    (writes, removals, guards)
}
