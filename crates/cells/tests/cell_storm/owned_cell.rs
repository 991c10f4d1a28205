//! Cells owned by a daemon.

use crate::commit_attempt::CommitAttempt;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::OwningPhase;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RequestKey;

/// State of the daemon that owns the cell.
pub struct OwnedCell {
    pub owner: CellOwner<OwningPhase>,
    pub head: u64,
    pub in_flight: Option<CommitAttempt>,
    /// Jobs to acknowledge once their entry is in the journal.
    pub jobs: Vec<(JournalSequence, JobName)>,
    /// Requests to send once their record is in the journal.
    pub keys: Vec<(JournalSequence, RequestKey)>,
    pub committed: MonoTime,
    /// Revision of the configuration that the list of workers was made with.
    pub config: usize,
    pub rejected_config: Option<usize>,
}
