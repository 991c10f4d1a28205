//! Faults that can be injected into a store.

use serde::Deserialize;
use serde::Serialize;

/// Faults that can be injected into a store, also as JSON with `POST /faults`. Fields that
/// are left out are reset to no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every request is refused with status 503 before it has any effect. Watches that
    /// are waiting lose their connection.
    pub down: bool,
    /// The delay of each request before it has any effect, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next transactions that are not refused are carried out, but get no
    /// response: the connection is closed.
    pub lose_answers: u64,
}
