//! A request that begins again after its outcome was lost.

use crate::ParkedSlot;
use crate::ReceivedPhase;
use crate::RequestCycle;

/// An idempotent request that begins again, and the slot that its lost attempt
/// may still be using.
#[derive(Debug)]
pub struct RetriedRequest {
    /// The request, received anew.
    pub cycle: RequestCycle<ReceivedPhase>,
    /// The slot of the lost attempt.
    pub slot: ParkedSlot,
}
