//! Demand of one member for a service.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RegionName;

/// The demand of one member for the runners of a service.
#[derive(Clone, Copy, Debug)]
pub struct MemberDemand<'a> {
    /// The member that has the demand.
    pub member: &'a DaemonIdentity,
    /// Its region, or `None` if its zone is not in the operators' document.
    pub region: Option<&'a RegionName>,
    /// Its demand in thousandths of a request, from
    /// [`DemandMeter::weight`](crate::DemandMeter::weight).
    pub weight: u32,
}
