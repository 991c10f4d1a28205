//! The state of a VM.

use serde::Deserialize;
use serde::Serialize;

/// The state of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in normal operation.
    Live,
    /// The VM is leaving and accepts no new work.
    Leaving,
}
