//! One simulated daemon process.

use crate::gauge_set::GaugeSet;
use sapphirestile_slots::TokenHolder;

/// A running daemon process; a frozen one does nothing until it resumes.
pub struct HolderProcess {
    pub holder: TokenHolder,
    pub gauges: GaugeSet,
    pub frozen: bool,
}
