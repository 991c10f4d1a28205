//! Rules of the record that may be left out.

/// A rule that is left out; the search has to find what breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordMutation {
    /// The first byte leaves before the record is known to stand.
    SendBeforeRecord,
    /// An unknown outcome is tried again.
    UnknownRetried,
    /// A new owner does not read the records of the journal.
    RecordsForgotten,
    /// "Not run" is said when the owner or the store does not answer.
    NotRunWithoutRecord,
    /// The record is granted to whoever asks.
    GrantToAll,
}

impl RecordMutation {
    /// Every mutation with its name on the command line.
    pub const ALL: [(&'static str, Self); 5] = [
        ("send-before-record", Self::SendBeforeRecord),
        ("unknown-retried", Self::UnknownRetried),
        ("records-forgotten", Self::RecordsForgotten),
        ("not-run-without-record", Self::NotRunWithoutRecord),
        ("grant-to-all", Self::GrantToAll),
    ];
}
