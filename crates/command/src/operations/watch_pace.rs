//! How a job is watched.

use std::time::Duration;

/// How often a job is read, and how many failures in a row are borne.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPace {
    /// The time between two reads.
    pub every: Duration,
    /// How many reads in a row may fail.
    pub failures_max: u32,
}
