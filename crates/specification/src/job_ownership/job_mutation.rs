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
    /// The wait for leases of an earlier owner is shorter than its authority.
    ShortInheritedWait,
    /// That wait counts from when the claiming daemon read an earlier write of the head row
    /// than the latest.
    BoundFromEarlierRead,
    /// That wait counts from the claim. No run overlaps another one, but the waits of owners
    /// in a row add up.
    WaitAnew,
    /// An owner grants leases to workers that its stored batch or the one in flight lists.
    GrantToListed,
    /// An owner grants leases to workers that its batch in flight lists.
    GrantWhileListing,
    /// An owner grants leases to a worker again when it sends a batch that does not list the
    /// worker, before the batch is stored.
    GrantBeforeUnlisted,
    /// An owner grants leases after its claim, before its first batch is stored.
    GrantBeforeFirstBatch,
    /// The answer of another worker at the address counts as no answer.
    OtherIncarnationIgnored,
    /// The answer of another worker at the address counts for a run whose start order was not
    /// answered, and the start may reach the next incarnation of its worker.
    OtherIncarnationEndsStart,
    /// A worker that responds to a new owner for the first time is taken to hold no lease of
    /// earlier owners.
    NoInheritedLease,
    /// A start may reach the next incarnation of the worker that it is meant for.
    StartOnAnyConnection,
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
    /// The mutations that break a property, with their names on the command line.
    pub const ALL: [(&'static str, Self); 22] = [
        ("start-before-stored", Self::StartBeforeStored),
        ("no-epoch-check", Self::NoEpochCheck),
        ("silence-as-proof", Self::SilenceAsProof),
        ("earlier-look-as-proof", Self::EarlierLookAsProof),
        ("no-stop-before-look", Self::NoStopBeforeLook),
        ("no-lapse-wait", Self::NoLapseWait),
        ("no-inherited-wait", Self::NoInheritedWait),
        ("short-inherited-wait", Self::ShortInheritedWait),
        ("bound-from-earlier-read", Self::BoundFromEarlierRead),
        ("grant-to-listed", Self::GrantToListed),
        ("grant-while-listing", Self::GrantWhileListing),
        ("grant-before-unlisted", Self::GrantBeforeUnlisted),
        ("grant-before-first-batch", Self::GrantBeforeFirstBatch),
        ("other-incarnation-ignored", Self::OtherIncarnationIgnored),
        (
            "other-incarnation-ends-start",
            Self::OtherIncarnationEndsStart,
        ),
        ("no-inherited-lease", Self::NoInheritedLease),
        ("start-on-any-connection", Self::StartOnAnyConnection),
        ("authority-from-answer", Self::AuthorityFromAnswer),
        ("noted-before-stored", Self::NotedBeforeStored),
        ("earlier-end-ignored", Self::EarlierEndIgnored),
        ("no-head-guard", Self::NoHeadGuard),
        ("clock-stands-still", Self::ClockStandsStill),
    ];
}
