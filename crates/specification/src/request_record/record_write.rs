//! Commit of a record.

/// A commit of the record at the next sequence number that its writer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordWrite {
    /// Sequence number of the entry; the store rejects the commit unless it is the next one.
    pub sequence: u8,
    /// Attempt that the record belongs to.
    pub attempt: u8,
}
