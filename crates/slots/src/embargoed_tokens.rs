//! Tokens that may not be used yet.

use sapphirestile_core::MonoTime;

/// Tokens of a removed member, unused until its last request has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EmbargoedTokens {
    /// How many tokens.
    pub count: u32,
    /// The time from which they may be used.
    pub until: MonoTime,
}
