//! The phase of an owner whose claim is not in the journal yet.

use crate::journal::JournalEntry;

/// The claim is on its way to the journal.
#[derive(Clone, Debug)]
pub struct ClaimingPhase {
    pub(super) entry: JournalEntry,
}
