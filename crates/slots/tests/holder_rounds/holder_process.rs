//! One simulated daemon process.

use crate::gauge_set::GaugeSet;
use sapphirestile_slots::TokenHolder;

pub struct HolderProcess {
    pub holder: TokenHolder,
    pub gauges: GaugeSet,
    pub frozen: bool,
}
