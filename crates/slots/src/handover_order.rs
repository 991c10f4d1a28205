//! Who gives tokens to whom.

use sapphirestile_core::DaemonIdentity;

/// Tokens that one member is to hand to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverOrder<'a> {
    /// The member that gives.
    pub from: &'a DaemonIdentity,
    /// The member that gets.
    pub to: &'a DaemonIdentity,
    /// How many tokens.
    pub count: u32,
}
