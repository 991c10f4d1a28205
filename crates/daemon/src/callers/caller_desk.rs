//! What all requests of callers share.

use crate::callers::LinkShare;
use crate::callers::ParkingLot;
use crate::callers::WaitingRoom;
use sapphirestile_routing::RetryBudget;

const RETRY_SHARE_MILLI: u32 = 100;
const RETRIES_MAX: u32 = 50;

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
    pub link: LinkShare,
}

impl Default for CallerDesk {
    fn default() -> Self {
        Self {
            lot: ParkingLot::default(),
            room: WaitingRoom::default(),
            retries: RetryBudget::new(RETRY_SHARE_MILLI, RETRIES_MAX),
            link: LinkShare::default(),
        }
    }
}
