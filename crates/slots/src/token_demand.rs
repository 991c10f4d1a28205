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
}
