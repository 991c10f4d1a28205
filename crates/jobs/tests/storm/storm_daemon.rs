//! A daemon that may own the jobs.

use sapphirestile_jobs::JobOwner;

/// A daemon that may own the jobs. Its clock goes on while it sleeps.
#[derive(Debug, Default)]
pub struct StormDaemon {
    pub owner: Option<JobOwner>,
    /// Counts its processes, so that answers to one before are dropped.
    pub life: u64,
    pub asleep_until: u64,
    /// Until when it reaches neither the store nor most workers.
    pub cut_until: u64,
    pub is_committing: bool,
    pub last_commit: u64,
    /// What arrived while it slept.
    pub missed: Vec<crate::storm_event::StormEvent>,
}
