//! The envelope of a message between daemons.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;

/// A message with the identity of its sender and of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame<B> {
    /// The sending daemon.
    pub sender: DaemonName,
    /// The incarnation of the sender's process.
    pub incarnation: IncarnationNumber,
    /// The sequence number of the sender's calls and heartbeats; an answer repeats that of
    /// its call.
    pub call: u64,
    /// The message itself.
    pub body: B,
}
