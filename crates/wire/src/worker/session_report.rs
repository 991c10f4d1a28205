//! What a worker answers to a session.

use serde::Deserialize;
use serde::Serialize;

use crate::worker::TaskReport;
use sapphirestile_core::ResourceSize;

/// The worker's room, its tasks and a fresh permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionReport {
    /// What a start has to quote; voids every permit before it.
    pub permit: u64,
    /// The worker's whole size.
    pub size: ResourceSize,
    /// Every task that the worker runs or has ended and not yet forgotten.
    pub tasks: Vec<TaskReport>,
}
