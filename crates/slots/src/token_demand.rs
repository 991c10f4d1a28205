//! Demand of one member for one runner.

use sapphirestile_core::DaemonIdentity;

/// The tokens that one member holds of a runner, and its demand for them.
#[derive(Clone, Copy, Debug)]
pub struct TokenDemand<'a> {
    /// The member that holds the tokens.
    pub member: &'a DaemonIdentity,
    /// The number of tokens that it holds.
    pub tokens: u32,
    /// Its demand for this runner, in thousandths; only the ratio to the weights of
    /// other members matters.
    pub weight: u32,
    /// The minimum number of tokens that it gets if there are enough for the floors of
    /// all members.
    pub floor: u32,
}

impl TokenDemand<'_> {
    /// Whether the member gets no tokens of the runner.
    #[must_use]
    pub const fn has_no_share(&self) -> bool {
        self.weight == 0 && self.floor == 0
    }
}
