//! The message that hands tokens over.

use serde::Deserialize;
use serde::Serialize;

use crate::HandoverTotal;
use sapphirestile_core::DaemonIdentity;

/// Counters of one member towards another. It may be lost, repeated and
/// reordered; a later one says all that an earlier one said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverMessage {
    /// The member that handed tokens over.
    pub from: DaemonIdentity,
    /// The member that they are for.
    pub to: DaemonIdentity,
    /// The counters, in the order of runners.
    pub totals: Vec<HandoverTotal>,
}
