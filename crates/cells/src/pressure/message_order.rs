//! The order of a daemon's messages.

use sapphirestile_core::IncarnationNumber;

/// Which message of a daemon it is: one that comes twice or late is not newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    /// The daemon's incarnation.
    pub incarnation: IncarnationNumber,
    /// The message within the incarnation.
    pub call: u64,
}
