//! The size to give a task.

use crate::SizeBasis;
use sapphirestile_core::ResourceSize;

/// The size to give a task, and what it rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeEstimate {
    /// The size.
    pub size: ResourceSize,
    /// What it rests on.
    pub basis: SizeBasis,
}
