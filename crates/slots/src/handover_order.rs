//! A planned transfer of tokens between two members.

use sapphirestile_core::DaemonIdentity;

/// A transfer of tokens of one runner that a plan calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverOrder<'a> {
    /// The member that hands tokens over.
    pub from: &'a DaemonIdentity,
    /// The member that receives them.
    pub to: &'a DaemonIdentity,
    /// The number of tokens.
    pub count: u32,
}
