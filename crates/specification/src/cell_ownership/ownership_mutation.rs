//! Rules of the cell's protocol that the model can leave out.

/// A rule to leave out. The search has to find a trace that breaks a property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipMutation {
    /// The store accepts an entry with any sequence number.
    NoSequenceCheck,
    /// The store checks only that no entry has the sequence number, so it accepts one whose
    /// entry was deleted after a snapshot.
    DeletedNumberFree,
    /// Workers accept messages with an earlier epoch.
    NoEpochCheck,
    /// A renewal does not void earlier permits.
    OldPermitsGood,
    /// A new owner releases tasks of a worker before it has a session with that worker.
    NoSessionFirst,
    /// Tasks of a worker that does not answer in time are released without proof.
    TimeoutAsProof,
    /// A report without the attempt proves that it does not run, even if the report has an
    /// old permit.
    OldReportAsProof,
    /// A commit whose answer is lost counts as not written.
    LostAnswerNotWritten,
    /// A commit whose answer is lost counts as written.
    LostAnswerWritten,
    /// A commit counts as not written if a read does not find the entry.
    AbsentReadAsProof,
    /// The start message is sent before the answer to the commit.
    StartBeforeCommit,
    /// A report that an earlier attempt finished counts as the end of the current one.
    OldFinishAccepted,
}

impl OwnershipMutation {
    /// All mutations with their names on the command line.
    pub const ALL: [(&'static str, Self); 12] = [
        ("no-sequence-check", Self::NoSequenceCheck),
        ("deleted-number-free", Self::DeletedNumberFree),
        ("no-epoch-check", Self::NoEpochCheck),
        ("old-permits-good", Self::OldPermitsGood),
        ("no-session-first", Self::NoSessionFirst),
        ("timeout-as-proof", Self::TimeoutAsProof),
        ("old-report-as-proof", Self::OldReportAsProof),
        ("lost-answer-not-written", Self::LostAnswerNotWritten),
        ("lost-answer-written", Self::LostAnswerWritten),
        ("absent-read-as-proof", Self::AbsentReadAsProof),
        ("start-before-commit", Self::StartBeforeCommit),
        ("old-finish-accepted", Self::OldFinishAccepted),
    ];
}
