//! A cell whose claim is in the journal.

use crate::PendingReply;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::OwningPhase;
use sapphirestile_core::MonoTime;

/// A cell whose claim is in the journal. A later claim of another daemon may have replaced it
/// without this daemon knowing.
#[derive(Debug)]
pub struct OwnedCell {
    /// The production code under test.
    pub owner: CellOwner<OwningPhase>,
    /// Replies to callers that wait for a commit.
    pub replies: Vec<PendingReply>,
    /// When the outcome of the latest commit became known, on the daemon's clock.
    pub last_commit: MonoTime,
    /// Revision of the document that the current list of workers was derived from. A commit
    /// that starts tasks requires that it is still the latest.
    pub document_revision: u64,
    /// Document revision that a commit required and that was no longer the latest. No starts
    /// are planned until the daemon has read another one. `None` until the first conflict.
    pub conflicting_revision: Option<u64>,
    /// Set once the daemon decided to release the cell; no sessions are renewed and no starts
    /// planned from then on.
    pub releasing: bool,
}
