//! Faults of the list of VMs.

use serde::Deserialize;
use serde::Serialize;

/// Faults, on request. Fields left out are set back to no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmFaults {
    /// Whether every read is answered with status 503.
    pub down: bool,
    /// How far the list lags behind, in milliseconds.
    pub lag_ms: u64,
    /// Whether the list is served without tags and compression.
    pub plain: bool,
}
