//! One life of a daemon in the rounds.

use crate::gauge_set::GaugeSet;
use sapphirestile_slots::TokenHolder;

pub struct HolderLife {
    pub holder: TokenHolder,
    pub gauges: GaugeSet,
    pub frozen: bool,
}
