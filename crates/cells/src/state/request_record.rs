//! The record of a request that must not run twice.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::DaemonIdentity;

/// The record of a request, made before its first byte leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The daemon that sends it.
    pub sender: DaemonIdentity,
    /// Tells this record from every other of the same key.
    pub nonce: u64,
    /// When it was recorded, in seconds of the Unix epoch.
    pub recorded_unix_s: u64,
}
