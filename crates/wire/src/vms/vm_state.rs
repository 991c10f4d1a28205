//! Whether a VM stays.

use serde::Deserialize;
use serde::Serialize;

/// Whether a listed VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It stays.
    Live,
    /// It takes no new work.
    Leaving,
}
