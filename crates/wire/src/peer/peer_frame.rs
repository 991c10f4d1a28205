//! One message between daemons, with its identity.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;

/// A message with its sender and the call that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame<B> {
    /// The daemon that sends it.
    pub sender: DaemonName,
    /// The sender's incarnation.
    pub incarnation: IncarnationNumber,
    /// Counts the sender's calls and heartbeats; an answer repeats the call's.
    pub call: u64,
    /// The message.
    pub body: B,
}
