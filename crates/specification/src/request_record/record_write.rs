//! A record on its way to the store.

/// A commit of the record at the next number that its writer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordWrite {
    /// The number that has to be free.
    pub sequence: u8,
    /// The try that the record is for.
    pub entry: u8,
}
