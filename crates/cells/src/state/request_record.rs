//! Records of non-idempotent requests.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::DaemonIdentity;

/// The record of a non-idempotent request, written before its first byte is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The daemon that sends it.
    pub sender: DaemonIdentity,
    /// Distinguishes this record from other records of the same key.
    pub nonce: u64,
    /// When it was recorded, in seconds of the Unix epoch.
    pub recorded_unix_s: u64,
}
