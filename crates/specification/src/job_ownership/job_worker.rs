//! A worker.

use crate::job_ownership::run_ends::RunEnds;

/// A worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobWorker {
    /// The highest epoch that it has seen.
    pub epoch: u8,
    /// The run that it has.
    pub running: Option<u8>,
    /// When its lease ends.
    pub lease_end: u8,
    /// Runs up to this number never begin here.
    pub refused_upto: u8,
    /// Its ends.
    pub ends: RunEnds,
}
