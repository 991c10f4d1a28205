//! What operators say of a zone.

use crate::RegionName;
use crate::ZoneState;

/// One `[zone NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEntry {
    /// The region that the zone lies in.
    pub region: RegionName,
    /// Whether the zone takes work.
    pub state: ZoneState,
}
