//! The part of a batch that one job's move or transfers make up.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobMove;
use sapphirestile_jobs::JobTransfer;
use sapphirestile_jobs::TaskTransfer;

use crate::ports::RowGuard;
use crate::ports::RowWrite;
use crate::store::HomeRow;
use crate::store::RowCodec;
use crate::store::RowKeys;
use crate::store::TransferRow;

/// The rows by which a job, or some of its tasks, go to other cells, unless the job was
/// cancelled. One commit changes the rows of all cells, so at no time have two owners a task.
#[derive(Clone, Debug)]
pub struct JobPart {
    /// The job that goes, or whose tasks go.
    pub job: JobIdentity,
    /// Whether the job leaves the cell as a whole.
    pub is_move: bool,
    /// The rows to write.
    pub writes: Vec<RowWrite>,
    /// The keys of the rows to remove.
    pub removals: Vec<String>,
    /// The condition that the job is not cancelled.
    pub guards: Vec<RowGuard>,
}

impl JobPart {
    /// The parts of a batch of a cell.
    pub fn all_of(cell: CellNumber, batch: &CommitBatch) -> Vec<Self> {
        let moves = batch
            .moves
            .iter()
            .map(|job_move| Self::of_move(cell, job_move));
        let transfers = batch.transfers.iter();
        let transfers = transfers.map(|transfer| Self::of_transfer(cell, transfer));
        moves.chain(transfers).collect()
    }

    fn of_move(cell: CellNumber, job_move: &JobMove) -> Self {
        let (job, target) = (&job_move.job, job_move.target);
        Self {
            job: *job,
            is_move: true,
            writes: vec![
                RowWrite {
                    key: RowKeys::home(job),
                    value: HomeRow::stored(target).encode(),
                },
                RowWrite {
                    key: RowKeys::spec(target, job),
                    value: RowCodec::encode(&*job_move.spec),
                },
            ],
            removals: vec![RowKeys::spec(cell, job), RowKeys::progress(cell, job)],
            guards: vec![not_cancelled(cell, job)],
        }
    }

    fn of_transfer(cell: CellNumber, transfer: &JobTransfer) -> Self {
        let job = &transfer.job;
        let progress_key = if transfer.place.is_guest() {
            RowKeys::guest_progress(cell, job)
        } else {
            RowKeys::progress(cell, job)
        };
        let (mut writes, mut removals) = (Vec::new(), Vec::new());
        match &transfer.progress {
            Some(progress) => writes.push(RowWrite {
                key: progress_key,
                value: RowCodec::encode(progress),
            }),
            None => removals.push(progress_key),
        }
        for transfer in &transfer.transfers {
            match transfer {
                TaskTransfer::Delegate { target, delegated } => writes.push(RowWrite {
                    key: RowKeys::delegated(*target, &delegated.task, delegated.run),
                    value: TransferRow::encode_delegated(delegated),
                }),
                TaskTransfer::Return {
                    home,
                    returned,
                    received_run,
                } => {
                    writes.push(RowWrite {
                        key: RowKeys::returned(*home, &returned.task, returned.run),
                        value: TransferRow::encode_returned(returned),
                    });
                    removals.push(RowKeys::delegated(cell, &returned.task, *received_run));
                }
            }
        }
        Self {
            job: *job,
            is_move: false,
            writes,
            removals,
            guards: vec![not_cancelled(cell, job)],
        }
    }
}

/// The condition that a job of the cell is not cancelled.
fn not_cancelled(cell: CellNumber, job: &JobIdentity) -> RowGuard {
    RowGuard {
        key: RowKeys::cancellation(cell, job),
        revision: 0,
    }
}
