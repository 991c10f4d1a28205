//! How often the list of VMs was read.

use serde::Deserialize;
use serde::Serialize;

/// Calls that were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmCounts {
    /// Reads of the list.
    pub reads: u64,
    /// Reads that were answered with "unchanged".
    pub unchanged: u64,
    /// Bytes of the bodies of all reads.
    pub bytes: u64,
    /// Replacements of the list.
    pub replacements: u64,
}
