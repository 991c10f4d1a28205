//! The latest token report of a member.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_wire::peer::TokenReport;

/// The latest token report of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// The member that sent the report; may be this daemon itself.
    pub member: DaemonIdentity,
    /// The tokens that it holds and the weights of its demand.
    pub report: TokenReport,
}
