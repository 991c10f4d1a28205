//! What waiting tasks want of a quota.

use sapphirestile_core::ResourceSize;

/// The share that a cell's waiting tasks of one customer want.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareWant {
    /// What they want together, no more than the cell's workers have room for.
    pub wanted: ResourceSize,
    /// What the first of them lacks: less is of no use.
    pub unit: ResourceSize,
    /// The whole of what the first of them takes.
    pub size: ResourceSize,
}
