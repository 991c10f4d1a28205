//! Bounds of the job model.

use crate::job_ownership::job_mutation::JobMutation;

/// Number of daemons.
pub(crate) const DAEMONS: usize = 2;
/// Number of workers.
pub(crate) const WORKERS: usize = 2;
/// Maximum number of runs of the task.
pub(crate) const RUNS: usize = 3;
/// Maximum number of orders that can still arrive after their sender gave up waiting.
pub(crate) const LATE_ORDERS: usize = 2;
/// Duration of a lease that an owner grants, in ticks.
pub(crate) const LEASE_TICKS: u8 = 1;
/// Maximum duration of a lease that a worker accepts, in ticks.
pub(crate) const LEASE_MAX_TICKS: u8 = 2;
/// Maximum time from sending a stored batch to the end of a lease granted after it, in
/// ticks.
pub(crate) const AUTHORITY_TICKS: u8 = 1;

/// Bounds of a search: how often each of the bounded actions happens, and the setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobBounds {
    /// Maximum number of claims after the first.
    pub claims: u8,
    /// Maximum number of ticks of the clocks.
    pub ticks: u8,
    /// Maximum number of orders and polls whose sender gives up waiting.
    pub losses: u8,
    /// Maximum number of runs of the task, up to 3.
    pub runs: u8,
    /// Whether the task runs on the first worker in the initial state, with a batch of its
    /// owner in flight.
    pub starts_running: bool,
    /// Whether each daemon can reach only the worker with its own number, and runs end only
    /// by a stop or the end of their lease.
    pub is_partitioned: bool,
}

impl JobBounds {
    const NONE: Self = Self {
        claims: 0,
        ticks: 0,
        losses: 0,
        runs: 2,
        starts_running: false,
        is_partitioned: false,
    };

    /// Another daemon claims the jobs while an order or its answer may be lost.
    pub const CLAIM: Self = Self {
        claims: 1,
        losses: 1,
        ..Self::NONE
    };

    /// Another daemon claims the jobs while a tick passes.
    pub const LATE_CLAIM: Self = Self {
        claims: 1,
        ticks: 1,
        runs: 1,
        ..Self::NONE
    };

    /// Enough ticks for the lease of an unresponsive worker to expire.
    pub const LAPSE: Self = Self {
        ticks: 2,
        losses: 1,
        ..Self::NONE
    };

    /// Enough ticks for a new owner to conclude that the leases have expired on a worker
    /// that it never reached.
    pub const UNREACHED: Self = Self {
        claims: 1,
        ticks: 2,
        starts_running: true,
        is_partitioned: true,
        ..Self::NONE
    };

    /// Bounds that every run of the tests covers, with their names on the command line.
    pub const SMALL: [(&'static str, Self); 4] = [
        ("claim", Self::CLAIM),
        ("late-claim", Self::LATE_CLAIM),
        ("lapse", Self::LAPSE),
        ("unreached", Self::UNREACHED),
    ];

    /// Larger bounds, for a longer search, with their names on the command line.
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

    /// Bounds at which `mutation` breaks a property.
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
