//! What a seeded run came to.

use crate::FaultCounts;

/// What a seeded run came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakVerdict {
    /// The seed.
    pub seed: u64,
    /// The faults that were injected.
    pub counts: FaultCounts,
    /// How many attempts workers started.
    pub starts: u64,
    /// How many entries the journals took.
    pub entries: u64,
    /// The first invariant that was broken, and how.
    pub violation: Option<String>,
}
