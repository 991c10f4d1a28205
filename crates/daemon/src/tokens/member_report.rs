//! What one member last said of its tokens.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_wire::peer::TokenReport;

/// The latest report of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// The member.
    pub member: DaemonIdentity,
    /// Its report.
    pub report: TokenReport,
}
