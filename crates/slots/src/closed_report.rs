//! What one member reports of a closed one.

use serde::Deserialize;
use serde::Serialize;

use crate::ClosedTotal;
use sapphirestile_core::DaemonIdentity;

/// The final counters between a member and one that is proven gone. The
/// reporter accepts nothing more from the closed member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedReport {
    /// The member that closed its counters.
    pub reporter: DaemonIdentity,
    /// The member that is gone.
    pub closed: DaemonIdentity,
    /// The counters that are not zero, in the order of runners.
    pub totals: Vec<ClosedTotal>,
}
