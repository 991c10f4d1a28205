//! What a VM is for.

use serde::Deserialize;
use serde::Serialize;

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// It carries a daemon.
    Entry,
    /// It runs batch tasks.
    Worker,
    /// It runs requests of a service.
    Runner,
}
