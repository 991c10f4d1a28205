//! An owner of the key's cell.

use crate::request_record::record_write::RecordWrite;

/// What an owner knows of the journal, and its commits under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordOwner {
    /// Whether it believes that it owns the cell.
    pub believes: bool,
    /// The next number that it knows.
    pub next: u8,
    /// The try that has the record, as far as it knows.
    pub record: Option<u8>,
    /// The commit whose answer it waits for.
    pub pending: Option<RecordWrite>,
    /// A commit in the network; the owner may have given it up.
    pub under_way: Option<RecordWrite>,
}
