//! Bounds of the job model.

use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::reachable_workers::ReachableWorkers;

/// Number of daemons.
pub(crate) const DAEMONS: usize = 3;
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
/// Ticks from reading a write of the head row until every lease has ended that its writer may
/// have granted.
pub(crate) const BOUND_TICKS: u8 = AUTHORITY_TICKS + 1;

/// Bounds of a search: how often each of the bounded actions happens, and the setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobBounds {
    /// Maximum number of claims after the first, up to 2.
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
    /// Number of times that the process at the address of the first worker is replaced: first
    /// by a stranger, then by a new incarnation of the worker.
    pub replacements: u8,
    /// Whether the process of a worker is replaced by the next incarnation of the worker at once,
    /// and not by a stranger first.
    pub restarts: bool,
    /// Whether a daemon claims only after the owner before it has ended. Otherwise an owner
    /// that pauses for good stands for one that has ended.
    pub owners_end: bool,
    /// Which workers each daemon can reach. If not all, runs end only by a stop or the end of
    /// their lease.
    pub reach: ReachableWorkers,
}

impl JobBounds {
    const NONE: Self = Self {
        claims: 0,
        ticks: 0,
        losses: 0,
        runs: 2,
        starts_running: false,
        replacements: 0,
        restarts: false,
        owners_end: false,
        reach: ReachableWorkers::All,
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
        reach: ReachableWorkers::One([0, 1, 1]),
        ..Self::NONE
    };

    /// Three owners in a row, of which the last two reach only the second worker. The run of
    /// the first owner is on the first worker.
    pub const CHAIN: Self = Self {
        claims: 2,
        ticks: 3,
        owners_end: true,
        ..Self::UNREACHED
    };

    /// Three owners in a row, of which the second reaches the worker with the run of the first,
    /// and the third does not.
    pub const RELAY: Self = Self {
        reach: ReachableWorkers::One([0, 0, 1]),
        ..Self::CHAIN
    };

    /// Three owners in a row that reach all workers.
    pub const CONNECTED_CHAIN: Self = Self {
        ticks: 2,
        reach: ReachableWorkers::All,
        ..Self::CHAIN
    };

    /// The same within fewer ticks, while a poll or an order may be lost.
    pub const LOSSY_RELAY: Self = Self {
        ticks: 2,
        losses: 1,
        ..Self::RELAY
    };

    /// An owner loses contact with a worker and reaches it again, and the next one never
    /// reaches it.
    pub const RELISTED: Self = Self {
        losses: 1,
        owners_end: true,
        ..Self::UNREACHED
    };

    /// A worker dies for good while another daemon claims the jobs.
    pub const REPLACED: Self = Self {
        claims: 1,
        replacements: 1,
        ..Self::NONE
    };

    /// A worker dies for good while three owners follow each other.
    pub const REPLACED_CHAIN: Self = Self {
        claims: 2,
        ticks: 1,
        replacements: 1,
        starts_running: true,
        owners_end: true,
        ..Self::NONE
    };

    /// A worker dies, and a new incarnation of it takes its address later.
    pub const SUCCEEDED: Self = Self {
        ticks: 1,
        replacements: 2,
        ..Self::NONE
    };

    /// A worker restarts under its name, and an order or its answer may be lost.
    pub const RESTARTED: Self = Self {
        ticks: 1,
        losses: 1,
        replacements: 1,
        restarts: true,
        ..Self::NONE
    };

    /// Bounds that every run of the tests covers, with their names on the command line.
    pub const SMALL: [(&'static str, Self); 13] = [
        ("claim", Self::CLAIM),
        ("late-claim", Self::LATE_CLAIM),
        ("lapse", Self::LAPSE),
        ("unreached", Self::UNREACHED),
        ("chain", Self::CHAIN),
        ("relay", Self::RELAY),
        ("lossy-relay", Self::LOSSY_RELAY),
        ("connected-chain", Self::CONNECTED_CHAIN),
        ("relisted", Self::RELISTED),
        ("replaced", Self::REPLACED),
        ("replaced-chain", Self::REPLACED_CHAIN),
        ("succeeded", Self::SUCCEEDED),
        ("restarted", Self::RESTARTED),
    ];

    /// Larger bounds, for a longer search, with their names on the command line.
    pub const LARGE: [(&'static str, Self); 4] = [
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
        (
            "long-chain",
            Self {
                ticks: 4,
                ..Self::CHAIN
            },
        ),
        (
            "long-return",
            Self {
                ticks: 4,
                reach: ReachableWorkers::One([0, 1, 0]),
                ..Self::CHAIN
            },
        ),
    ];

    /// Bounds at which `mutation` breaks a property.
    #[must_use]
    pub const fn breaking(mutation: JobMutation) -> Self {
        match mutation {
            JobMutation::NoEpochCheck | JobMutation::NoHeadGuard => Self::CLAIM,
            JobMutation::NoInheritedWait
            | JobMutation::ShortInheritedWait
            | JobMutation::BoundFromEarlierRead
            | JobMutation::AuthorityFromAnswer
            | JobMutation::ClockStandsStill => Self::UNREACHED,
            JobMutation::WaitAnew => Self::CHAIN,
            JobMutation::GrantToListed
            | JobMutation::GrantBeforeUnlisted
            | JobMutation::GrantBeforeFirstBatch => Self::RELAY,
            JobMutation::GrantWhileListing => Self::RELISTED,
            JobMutation::OtherIncarnationIgnored => Self::REPLACED,
            JobMutation::OtherIncarnationEndsStart => Self::SUCCEEDED,
            JobMutation::NoInheritedLease => Self::LOSSY_RELAY,
            JobMutation::StartOnAnyConnection => Self::RESTARTED,
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
