//! A batch of starts.

use crate::zone_out::held_permit::HeldPermit;

/// The commit of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchCommit {
    /// The permit that the start quotes.
    pub permit: HeldPermit,
    /// The revision that the batch was decided on.
    pub revision: u8,
}
