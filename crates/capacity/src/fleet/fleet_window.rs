//! What a fleet spent in a while.

/// What a fleet spent in a while; processor, memory and threads are the mean of
/// a daemon, calls those of all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetWindow {
    /// Processor time, in thousandths of a core.
    pub milli_cores: u64,
    /// Resident memory at the end, in megabytes.
    pub resident_mb: u64,
    /// Threads at the end.
    pub threads: u64,
    /// Bytes of the list of VMs, a second.
    pub list_bytes: u64,
    /// Reads at the store in ten seconds.
    pub reads_tenths: u64,
    /// Transactions at the store in ten seconds.
    pub commits_tenths: u64,
    /// Watches opened at the store in ten seconds.
    pub watches_tenths: u64,
    /// Sessions each second, as wanted: one a worker.
    pub sessions: usize,
}
