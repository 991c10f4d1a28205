//! What one member wants of one runner.

use sapphirestile_core::DaemonIdentity;

/// The tokens that one member has of a runner, and how much it needs them.
#[derive(Clone, Copy, Debug)]
pub struct TokenDemand<'a> {
    /// The member.
    pub member: &'a DaemonIdentity,
    /// The tokens that it holds.
    pub tokens: u32,
    /// Its demand, as a [`DemandMeter`](crate::DemandMeter) measured it.
    pub weight: u32,
    /// The fewest tokens that it is to have where there are enough for all.
    pub floor: u32,
}

impl TokenDemand<'_> {
    /// Whether the member is to have nothing of the runner.
    #[must_use]
    pub const fn is_shareless(&self) -> bool {
        self.weight == 0 && self.floor == 0
    }
}
