//! Rules of the record protocol that the model can leave out.

/// A rule to leave out. The search has to find a trace that breaks a property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordMutation {
    /// The entry daemon sends the first byte before it knows that the record is committed.
    SendBeforeRecord,
    /// The entry daemon sends a request again whose outcome is unknown.
    UnknownRetried,
    /// A new owner does not read the records in the journal.
    RecordsForgotten,
    /// The entry daemon reports "not run" when the owner or the store does not answer.
    NotRunWithoutRecord,
    /// The owner grants the record to every attempt that asks for it.
    GrantToAll,
}

impl RecordMutation {
    /// All mutations with their names on the command line.
    pub const ALL: [(&'static str, Self); 5] = [
        ("send-before-record", Self::SendBeforeRecord),
        ("unknown-retried", Self::UnknownRetried),
        ("records-forgotten", Self::RecordsForgotten),
        ("not-run-without-record", Self::NotRunWithoutRecord),
        ("grant-to-all", Self::GrantToAll),
    ];
}
