//! State of the record protocol.

use crate::request_record::caller_attempt::CallerAttempt;
use crate::request_record::record_owner::RecordOwner;

/// Number of attempts of the caller.
pub(crate) const ATTEMPTS: usize = 2;
/// Number of daemons that may own the cell.
pub(crate) const OWNERS: usize = 2;

/// State of the journal, the owners, the attempts and the runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordState {
    /// Next free sequence number of the journal.
    pub(crate) next_sequence: u8,
    /// Owner by the latest claim in the journal.
    pub(crate) owner: u8,
    /// Attempt that the record in the journal belongs to; `None` without a record.
    pub(crate) record_holder: Option<u8>,
    pub(crate) owners: [RecordOwner; OWNERS],
    pub(crate) attempts: [CallerAttempt; ATTEMPTS],
    /// Number of times that the runner has run the request.
    pub(crate) runs: u8,
    /// Number of claims so far.
    pub(crate) claims: u8,
    /// Number of retries after an unknown outcome; always 0 without the mutation.
    pub(crate) retries: u8,
}

impl RecordState {
    pub(crate) const fn owner_mut(&mut self, owner: u8) -> &mut RecordOwner {
        &mut self.owners[owner as usize]
    }

    pub(crate) const fn attempt_mut(&mut self, attempt: u8) -> &mut CallerAttempt {
        &mut self.attempts[attempt as usize]
    }
}
