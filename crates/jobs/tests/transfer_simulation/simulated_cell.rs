//! The owner of one cell.

use std::collections::VecDeque;

use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobOwner;

use crate::cell_rows::CellRows;
use crate::store_commit::StoreCommit;

/// The owner of one cell, as a daemon drives it. Times are in milliseconds.
#[derive(Debug, Default)]
pub struct SimulatedCell {
    /// The owner; `None` from its death until the next claim.
    pub owner: Option<JobOwner>,
    /// Number of the present owner, to drop what is meant for an earlier one.
    pub generation: u64,
    /// When the next owner claims.
    pub claim_at: u64,
    /// Version of the head row that the owner last wrote.
    pub version: u64,
    /// Batch that is being stored.
    pub batch: Option<CommitBatch>,
    /// Commits of that batch that are not stored.
    pub commits: VecDeque<StoreCommit>,
    /// Jobs whose transfers were refused.
    pub refused: Vec<JobIdentity>,
    pub last_commit: u64,
    pub next_view: u64,
    /// A listing that arrives late.
    pub outdated: Option<CellRows>,
}
