//! Commit of a placement.

use crate::zone_out::held_permit::HeldPermit;

/// The commit of a placement, by which the owner may send the start request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchCommit {
    /// The permit that the start request carries.
    pub permit: HeldPermit,
    /// Revision of the configuration that the decision was based on.
    pub revision: u8,
}
