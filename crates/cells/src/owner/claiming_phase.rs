//! Phase of an owner whose claim is not in the journal yet.

use crate::journal::JournalEntry;

/// The claim is being committed.
#[derive(Clone, Debug)]
pub struct ClaimingPhase {
    pub(super) entry: JournalEntry,
}
