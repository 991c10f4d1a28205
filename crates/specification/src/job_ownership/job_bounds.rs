//! Bounds of the search.

use crate::job_ownership::job_mutation::JobMutation;

/// The daemons.
pub(crate) const DAEMONS: usize = 2;
/// The workers.
pub(crate) const WORKERS: usize = 2;
/// The most runs of the task.
pub(crate) const RUNS: usize = 3;
/// The most orders that may still arrive after they were given up.
pub(crate) const LATE_ORDERS: usize = 2;
/// How long a lease is that an owner gives, in ticks.
pub(crate) const LEASE_TICKS: u8 = 1;
/// The longest lease that a worker takes, in ticks.
pub(crate) const LEASE_MAX_TICKS: u8 = 2;
/// How long after a stored batch a lease may still end, in ticks.
pub(crate) const AUTHORITY_TICKS: u8 = 1;

/// How much may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobBounds {
    /// Claims after the first.
    pub claims: u8,
    /// Ticks of the clocks.
    pub ticks: u8,
    /// Orders that their sender gives up.
    pub losses: u8,
    /// Runs of the task.
    pub runs: u8,
    /// Whether the task runs at the first worker from the beginning, and a batch is
    /// under way.
    pub is_begun: bool,
    /// Whether each daemon reaches one worker only, its own, and runs last until their
    /// lease ends.
    pub is_cut: bool,
}

impl JobBounds {
    const NONE: Self = Self {
        claims: 0,
        ticks: 0,
        losses: 0,
        runs: 2,
        is_begun: false,
        is_cut: false,
    };

    /// Another daemon claims the jobs while an order may be lost.
    pub const CLAIM: Self = Self {
        claims: 1,
        losses: 1,
        ..Self::NONE
    };

    /// Another daemon claims the jobs while time passes.
    pub const LATE_CLAIM: Self = Self {
        claims: 1,
        ticks: 1,
        runs: 1,
        ..Self::NONE
    };

    /// Time for a silent worker's lease to end.
    pub const LAPSE: Self = Self {
        ticks: 2,
        losses: 1,
        ..Self::NONE
    };

    /// Time for a new owner to take a worker that it never reached for gone.
    pub const UNREACHED: Self = Self {
        claims: 1,
        ticks: 2,
        is_begun: true,
        is_cut: true,
        ..Self::NONE
    };

    /// Bounds for every run of the tests, with their names on the command line.
    pub const SMALL: [(&'static str, Self); 4] = [
        ("claim", Self::CLAIM),
        ("late-claim", Self::LATE_CLAIM),
        ("lapse", Self::LAPSE),
        ("unreached", Self::UNREACHED),
    ];

    /// Bounds for a deeper search.
    pub const LARGE: [(&'static str, Self); 2] = [
        (
            "long-lapse",
            Self {
                ticks: 3,
                ..Self::LAPSE
            },
        ),
        (
            "long-unreached",
            Self {
                ticks: 3,
                ..Self::UNREACHED
            },
        ),
    ];

    /// The bounds that bring out what a mutation breaks.
    #[must_use]
    pub const fn breaking(mutation: JobMutation) -> Self {
        match mutation {
            JobMutation::NoEpochCheck | JobMutation::NoHeadGuard => Self::CLAIM,
            JobMutation::NoInheritedWait
            | JobMutation::AuthorityFromAnswer
            | JobMutation::ClockStandsStill => Self::UNREACHED,
            JobMutation::StartBeforeStored
            | JobMutation::SilenceAsProof
            | JobMutation::EarlierLookAsProof
            | JobMutation::NoStopBeforeLook
            | JobMutation::NoLapseWait
            | JobMutation::NotedBeforeStored
            | JobMutation::EarlierEndIgnored => Self::LAPSE,
        }
    }
}
