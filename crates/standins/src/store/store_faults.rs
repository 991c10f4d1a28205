//! Faults of the store.

use serde::Deserialize;
use serde::Serialize;

/// Faults, on request. Fields left out are set back to no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call is turned away before it does anything.
    pub down: bool,
    /// How long each call waits before it does anything, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next transactions take effect without an answer.
    pub lose_answers: u64,
}
