//! What all requests of callers share.

use crate::callers::ParkingLot;
use crate::callers::WaitingRoom;
use sapphirestile_routing::LinkBudget;
use sapphirestile_routing::LinkMeter;
use sapphirestile_routing::RetryBudget;

const RETRY_SHARE_MILLI: u32 = 100;
const RETRIES_MAX: u32 = 50;
const LINK_SHARE_BITS_PER_SECOND: u64 = 5_000_000;

/// What all requests of callers share.
#[derive(Debug)]
pub struct CallerDesk {
    /// Slots of lost attempts.
    pub lot: ParkingLot,
    /// Requests that wait for a slot.
    pub room: WaitingRoom,
    /// Second attempts, as a share of the traffic.
    pub retries: RetryBudget,
    /// This daemon's share of the link between regions.
    pub link: LinkBudget,
    /// Bytes by how far they travelled.
    pub meter: LinkMeter,
}

impl Default for CallerDesk {
    fn default() -> Self {
        Self {
            lot: ParkingLot::default(),
            room: WaitingRoom::default(),
            retries: RetryBudget::new(RETRY_SHARE_MILLI, RETRIES_MAX),
            link: LinkBudget::new(LINK_SHARE_BITS_PER_SECOND),
            meter: LinkMeter::default(),
        }
    }
}
