//! Bounds of the cell's model.

/// Maximum number of daemons.
pub(crate) const DAEMONS: usize = 3;
/// Number of workers.
pub(crate) const WORKERS: usize = 2;
/// Maximum number of messages in flight at a time.
pub(crate) const MESSAGES: usize = 3;
/// Maximum number of commits in flight at a time.
pub(crate) const WRITES: usize = 2;
/// Maximum number of attempts of the task.
pub(crate) const ATTEMPTS: usize = 3;

/// Bounds of a search: how many processes and messages exist, and how often each of the
/// bounded actions happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipBounds {
    /// Number of daemons, up to 3.
    pub daemons: u8,
    /// Maximum number of messages in flight between daemons and workers, up to 3.
    pub messages: u8,
    /// Maximum number of commits in flight, up to 2.
    pub writes: u8,
    /// Maximum number of attempts of the task, up to 3.
    pub attempts: u8,
    /// Maximum number of claims after the first.
    pub claims: u8,
    /// Maximum number of times that a daemon dies.
    pub kills: u8,
    /// Maximum number of leases that expire and of stop messages that take effect, together.
    pub stops: u8,
    /// Maximum number of workers whose VM is lost.
    pub worker_losses: u8,
    /// Maximum number of restarts of workers.
    pub worker_restarts: u8,
    /// Maximum number of snapshots.
    pub snapshots: u8,
    /// Maximum number of commits whose answer is lost.
    pub lost_answers: u8,
    /// Whether a renewal reaches the worker as soon as it is sent. The report that answers
    /// it always goes through the network.
    pub prompt_renewals: bool,
}

impl OwnershipBounds {
    /// One daemon and no bounded faults.
    pub const FAULT_FREE: Self = Self {
        daemons: 1,
        messages: 2,
        writes: 1,
        attempts: 2,
        claims: 0,
        kills: 0,
        stops: 0,
        worker_losses: 0,
        worker_restarts: 0,
        snapshots: 0,
        lost_answers: 0,
        prompt_renewals: true,
    };
    /// Two daemons, one of which claims the cell from the other.
    pub const HANDOVER: Self = Self {
        daemons: 2,
        claims: 1,
        ..Self::FAULT_FREE
    };
    /// [`HANDOVER`](Self::HANDOVER) with one message in flight at a time.
    pub const ONE_MESSAGE: Self = Self {
        messages: 1,
        ..Self::HANDOVER
    };
    /// [`ONE_MESSAGE`](Self::ONE_MESSAGE) with two commits in flight at a time.
    pub const TWO_WRITES: Self = Self {
        writes: 2,
        ..Self::ONE_MESSAGE
    };
}
