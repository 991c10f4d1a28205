//! Where the owner has a task assigned.

use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;

/// Where the owner has a task assigned, and what it knows of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskAssignment {
    pub(crate) worker: usize,
    pub(crate) given: ResourceSize,
    pub(crate) started: MonoTime,
    /// Memory last seen, in mebibytes.
    pub(crate) memory_mb: u64,
    /// The part of its processor time that it is let have, in thousandths.
    pub(crate) throttle_permille: u64,
}
