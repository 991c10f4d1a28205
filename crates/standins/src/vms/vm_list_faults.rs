//! Faults that can be injected into a list of VMs.

use serde::Deserialize;
use serde::Serialize;

/// Faults that can be injected into a list of VMs, also as JSON with `POST /faults`. Fields
/// that are left out are reset to no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// Whether every read is answered with status 503.
    pub down: bool,
    /// The age of the version that is served, in milliseconds; at most 600,000.
    pub lag_ms: u64,
    /// Whether the list is served without an `etag` and without compression.
    pub plain: bool,
}
