//! Message that hands tokens to a peer.

use serde::Deserialize;
use serde::Serialize;

use crate::HandoverTotal;
use sapphirestile_core::DaemonIdentity;

/// Totals of the tokens that one member sent to another. Messages may be lost,
/// duplicated and reordered, since a later total includes all earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverMessage {
    /// The member that handed tokens over.
    pub from: DaemonIdentity,
    /// The member that receives them.
    pub to: DaemonIdentity,
    /// The totals, sorted by runner.
    pub totals: Vec<HandoverTotal>,
}
