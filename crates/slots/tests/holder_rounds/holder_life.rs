//! One life of a daemon in the rounds.

use sapphirestile_slots::TokenHolder;

use crate::gauge_set::GaugeSet;

pub struct HolderLife {
    pub holder: TokenHolder,
    pub gauges: GaugeSet,
    pub frozen: bool,
}
