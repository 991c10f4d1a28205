//! A lease that was just checked.

use crate::store::LapsedPhase;
use crate::store::LeaseCycle;
use crate::store::LivePhase;

/// A lease in the phase that the time of the check has brought it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease holds.
    Live(LeaseCycle<LivePhase>),
    /// The lease has lapsed.
    Lapsed(LeaseCycle<LapsedPhase>),
}
