//! The state of a zone.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::RegionName;
use sapphirestile_core::ZoneName;
use sapphirestile_core::ZoneState;

/// One zone and its state in the document in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: ZoneName,
    /// The region that it lies in.
    pub region: RegionName,
    /// Whether it takes work.
    pub state: ZoneState,
}
