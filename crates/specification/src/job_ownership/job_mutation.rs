//! Rules of the owner's protocol that may be left out.

/// A rule that is left out; the search has to find what breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobMutation {
    /// A start is sent before its assignment is stored.
    StartBeforeStored,
    /// A worker carries out orders of an earlier epoch.
    NoEpochCheck,
    /// A start without an answer counts as not carried out.
    SilenceAsProof,
    /// A look that began before the start was answered counts as proof.
    EarlierLookAsProof,
    /// A start without an answer is not stopped before a look counts as proof.
    NoStopBeforeLook,
    /// A silent worker's lease counts as ended at once.
    NoLapseWait,
    /// A worker that a new owner never reached counts as gone at once.
    NoInheritedWait,
    /// Leases are given as of when a batch was heard to be stored.
    AuthorityFromAnswer,
    /// An end is noted at its worker before it is stored.
    NotedBeforeStored,
    /// The done end of an earlier run is passed over.
    EarlierEndIgnored,
    /// The store does not compare the epoch of a batch.
    NoHeadGuard,
    /// The owner's clock stands still while it is suspended.
    ClockStandsStill,
}

impl JobMutation {
    /// Every mutation with its name on the command line.
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
