//! The numbers of requests for a list of VMs.

use serde::Deserialize;
use serde::Serialize;

/// The numbers of requests that were answered since the list was started. Reads refused with
/// status 503 are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListCounts {
    /// Reads of the list, unchanged or not.
    pub reads: u64,
    /// Reads that were answered with status 304 (not modified).
    pub unchanged: u64,
    /// The total size of the response bodies of all reads, in bytes as sent.
    pub bytes: u64,
    /// Replacements of the list, over HTTP or within the process.
    pub replacements: u64,
}
