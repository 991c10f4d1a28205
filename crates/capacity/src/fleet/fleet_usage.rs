//! Resource usage of a fleet.

/// Resource usage of a fleet over an interval. Processor time, memory, threads and list
/// bytes are the mean over the daemons; store calls are those of all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetUsage {
    /// Mean processor use, in thousandths of a core.
    pub milli_cores: u64,
    /// Resident memory at the end of the interval, in units of 1,024 KB.
    pub resident_mb: u64,
    /// Threads at the end of the interval.
    pub threads: u64,
    /// Bytes of the list of VMs that are sent to a daemon per second.
    pub list_bytes_per_s: u64,
    /// Range reads at the store per ten seconds.
    pub store_reads_per_10s: u64,
    /// Transactions at the store per ten seconds.
    pub store_commits_per_10s: u64,
    /// Watches opened at the store per ten seconds.
    pub store_watches_per_10s: u64,
    /// Intended worker sessions per second, one per worker; not measured.
    pub sessions_per_s: usize,
}
