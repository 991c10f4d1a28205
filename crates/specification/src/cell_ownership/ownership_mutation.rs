//! Faults built into the protocol, one at a time.

/// A rule that is left out; the search has to find what breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipMutation {
    /// The store takes an entry whatever its number.
    NoSequenceCheck,
    /// The number alone is compared, so a number freed by a snapshot is free.
    DeletedNumberFree,
    /// The worker does not compare epochs.
    NoEpochCheck,
    /// A renewal leaves earlier permits good.
    OldPermitsGood,
    /// A new owner gives tasks away before it has a session with their worker.
    NoSessionFirst,
    /// Tasks of a worker that does not answer are given away after a time.
    TimeoutAsProof,
    /// A report proves an absence whatever its permit.
    OldReportAsProof,
    /// A lost answer is taken as "not written".
    LostAnswerNotWritten,
    /// A lost answer is taken as "written".
    LostAnswerWritten,
    /// A read that does not find the entry is taken as "not written".
    AbsentReadAsProof,
    /// The start is sent beside the commit.
    StartBeforeCommit,
    /// A "finished" of an earlier attempt finishes the task.
    OldFinishAccepted,
}

impl OwnershipMutation {
    /// Every mutation with its name on the command line.
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
