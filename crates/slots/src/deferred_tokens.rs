//! Tokens that must not be used yet.

use sapphirestile_core::MonoTime;

/// Tokens reclaimed from a removed member, which must not be used until its last
/// request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeferredTokens {
    /// The number of tokens.
    pub count: u32,
    /// The time from which they may be used.
    pub until: MonoTime,
}
