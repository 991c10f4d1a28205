//! What one member wants of a service.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RegionName;

/// The demand of one member for the runners of a service.
#[derive(Clone, Copy, Debug)]
pub struct MemberDemand<'a> {
    /// The member.
    pub member: &'a DaemonIdentity,
    /// Where it lies; nothing when its zone is not in the document.
    pub region: Option<&'a RegionName>,
    /// Its demand, as a [`DemandMeter`](crate::DemandMeter) measured it.
    pub weight: u32,
}
