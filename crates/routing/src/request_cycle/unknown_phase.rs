//! The phase of a request whose outcome is not known.

use std::mem::ManuallyDrop;

use crate::ParkedSlot;
use crate::RequestCycle;
use crate::SlotGuard;
use sapphirestile_core::MonoTime;

/// A request that may have run, may be running, or may not have run.
#[derive(Debug)]
pub struct UnknownPhase {
    pub(super) slot: ManuallyDrop<SlotGuard>,
}

impl RequestCycle<UnknownPhase> {
    /// Ends the request and parks its slot until `until`, when the longest
    /// request that the runner could be working on has passed.
    #[must_use]
    pub fn park(self, until: MonoTime) -> ParkedSlot {
        ParkedSlot::new(self.phase.slot, until)
    }
}
