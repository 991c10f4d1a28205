//! A daemon that may own the key's cell.

use crate::request_record::record_write::RecordWrite;

/// A daemon's knowledge of the journal, and its commits in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordOwner {
    /// Whether it believes that it owns the cell.
    pub believes_owner: bool,
    /// Next sequence number of the journal, as far as it knows.
    pub next_sequence: u8,
    /// Attempt that the record belongs to, as far as it knows; `None` without a record.
    pub record_holder: Option<u8>,
    /// Commit whose answer it waits for.
    pub pending_write: Option<RecordWrite>,
    /// Commit on its way to the store; the owner may have stopped waiting for it.
    pub in_flight_write: Option<RecordWrite>,
}
