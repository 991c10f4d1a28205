//! One commit of a batch.

use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::JobTransfer;

/// One commit of a batch; each is stored as a whole or not at all.
#[derive(Clone, Debug)]
pub enum StoreCommit {
    /// What other cells are to end, which comes before the progress that says so.
    Revocations(Box<CommitBatch>),
    /// The rows of the cell.
    Rows(Box<CommitBatch>),
    /// The transfers of one job, unless it was cancelled.
    Transfer(Box<JobTransfer>),
}

impl StoreCommit {
    /// The commits of a batch, in their order.
    pub fn all_of(batch: &CommitBatch) -> Vec<Self> {
        let mut commits = Vec::new();
        if !batch.revoked.is_empty() {
            commits.push(Self::Revocations(Box::new(batch.clone())));
        }
        commits.push(Self::Rows(Box::new(batch.clone())));
        let transfers = batch.transfers.iter().cloned();
        commits.extend(transfers.map(|transfer| Self::Transfer(Box::new(transfer))));
        commits
    }
}
