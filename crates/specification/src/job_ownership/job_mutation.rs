//! Rules of the job protocol that the model can leave out.

/// A rule to leave out. The search has to find a trace that breaks a property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobMutation {
    /// A start is sent before its assignment is stored.
    StartBeforeStored,
    /// Workers accept orders of an earlier epoch.
    NoEpochCheck,
    /// A start order without an answer counts as not carried out.
    SilenceAsProof,
    /// A poll sent before the start order was answered counts as proof that the run has
    /// ended, if the response does not list it.
    EarlierLookAsProof,
    /// A run whose start order got no answer is not stopped before a poll counts as proof.
    NoStopBeforeLook,
    /// The lease of an unresponsive worker counts as expired at once.
    NoLapseWait,
    /// The leases on a worker that a new owner never reached count as expired at once.
    NoInheritedWait,
    /// The time in which an owner may grant leases counts from the answer to a batch, not
    /// from when the batch was sent.
    AuthorityFromAnswer,
    /// The end of a run is acknowledged to its worker before it is stored.
    NotedBeforeStored,
    /// An owner ignores that an earlier run has completed the task.
    EarlierEndIgnored,
    /// The store accepts a batch without comparing its epoch with the head row.
    NoHeadGuard,
    /// The clock of a daemon stands still while it is suspended.
    ClockStandsStill,
}

impl JobMutation {
    /// All mutations with their names on the command line.
    pub const ALL: [(&'static str, Self); 12] = [
        ("start-before-stored", Self::StartBeforeStored),
        ("no-epoch-check", Self::NoEpochCheck),
        ("silence-as-proof", Self::SilenceAsProof),
        ("earlier-look-as-proof", Self::EarlierLookAsProof),
        ("no-stop-before-look", Self::NoStopBeforeLook),
        ("no-lapse-wait", Self::NoLapseWait),
        ("no-inherited-wait", Self::NoInheritedWait),
        ("authority-from-answer", Self::AuthorityFromAnswer),
        ("noted-before-stored", Self::NotedBeforeStored),
        ("earlier-end-ignored", Self::EarlierEndIgnored),
        ("no-head-guard", Self::NoHeadGuard),
        ("clock-stands-still", Self::ClockStandsStill),
    ];
}
