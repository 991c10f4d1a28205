//! The purpose of a VM.

use serde::Deserialize;
use serde::Serialize;

/// The purpose of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// Runs a daemon of this system.
    Entry,
    /// Runs batch tasks.
    Worker,
    /// Runs the requests of a service.
    Runner,
}
