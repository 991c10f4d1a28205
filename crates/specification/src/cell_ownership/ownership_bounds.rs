//! How far the search goes.

/// The most daemons of a search.
pub(crate) const DAEMONS: usize = 3;
/// The workers of a search.
pub(crate) const WORKERS: usize = 2;
/// The most messages under way at a time.
pub(crate) const MESSAGES: usize = 3;
/// The most commits under way at a time.
pub(crate) const WRITES: usize = 2;
/// The most attempts of the task.
pub(crate) const ATTEMPTS: usize = 3;

/// How much may happen in one search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipBounds {
    /// Daemons.
    pub daemons: u8,
    /// Messages between daemons and workers under way at a time.
    pub messages: u8,
    /// Commits under way at a time.
    pub writes: u8,
    /// Attempts of the task.
    pub attempts: u8,
    /// Claims after the first.
    pub claims: u8,
    /// Kills of daemons.
    pub kills: u8,
    /// Leases that lapse and stops that the owner asks for.
    pub stops: u8,
    /// Workers whose VM is lost.
    pub losses: u8,
    /// Workers that restart and forget.
    pub restarts: u8,
    /// Snapshots.
    pub snapshots: u8,
    /// Commits whose answer is lost.
    pub lost_answers: u8,
    /// Whether renewals reach their worker at once; their reports never do.
    pub prompt_renewals: bool,
}

impl OwnershipBounds {
    /// One daemon and no fault.
    pub const CALM: Self = Self {
        daemons: 1,
        messages: 2,
        writes: 1,
        attempts: 2,
        claims: 0,
        kills: 0,
        stops: 0,
        losses: 0,
        restarts: 0,
        snapshots: 0,
        lost_answers: 0,
        prompt_renewals: true,
    };
    /// Two daemons, one of which claims the cell from the other.
    pub const HANDOVER: Self = Self {
        daemons: 2,
        claims: 1,
        ..Self::CALM
    };
    /// A handover with one message under way at a time.
    pub const NARROW: Self = Self {
        messages: 1,
        ..Self::HANDOVER
    };
    /// A narrow handover with two commits under way at a time.
    pub const TWO_WRITES: Self = Self {
        writes: 2,
        ..Self::NARROW
    };
}
