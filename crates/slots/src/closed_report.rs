//! Report on the closed counters of a member.

use serde::Deserialize;
use serde::Serialize;

use crate::ClosedTotal;
use sapphirestile_core::DaemonIdentity;

/// The final counters between a member and one that is proven gone. The reporter
/// accepts no more tokens from the closed member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedReport {
    /// The member that reports its counters.
    pub reporter: DaemonIdentity,
    /// The member that is gone.
    pub closed: DaemonIdentity,
    /// The counters that are not zero, sorted by runner.
    pub totals: Vec<ClosedTotal>,
}
