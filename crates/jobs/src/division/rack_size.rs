//! Size of a rack.

use sapphirestile_core::ZoneName;

/// The workers of a rack that are listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RackSize {
    /// Availability zone of the rack.
    pub zone: ZoneName,
    /// Number of listed workers.
    pub workers: usize,
}
