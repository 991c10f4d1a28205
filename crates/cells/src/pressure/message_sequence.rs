//! Ordering of a daemon's messages.

use sapphirestile_core::IncarnationNumber;

/// Position of a message among those of its daemon; a late or repeated one is not greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageSequence {
    /// Incarnation of the daemon that sent it.
    pub incarnation: IncarnationNumber,
    /// Number of the message within the incarnation.
    pub call: u64,
}
