//! The status of a zone.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::RegionName;
use sapphirestile_core::ZoneName;
use sapphirestile_core::ZoneState;

/// One zone and its state in the active document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The name of the zone.
    pub zone: ZoneName,
    /// The region that the zone belongs to.
    pub region: RegionName,
    /// Whether the zone takes work.
    pub state: ZoneState,
}
