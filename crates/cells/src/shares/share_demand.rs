//! Shares that waiting tasks lack.

use sapphirestile_core::ResourceSize;

/// The additional share of a quota that a customer's waiting tasks in this cell need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareDemand {
    /// What all of them lack together, at most what fits on the cell's workers.
    pub wanted: ResourceSize,
    /// What the first of them lacks; a smaller share does not let it start.
    pub unit: ResourceSize,
    /// The size of the first of them.
    pub size: ResourceSize,
}
