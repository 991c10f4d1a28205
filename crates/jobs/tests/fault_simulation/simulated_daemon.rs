//! A daemon in the simulation.

use sapphirestile_jobs::JobOwner;

/// A daemon that may own the jobs. Its clock advances while the process is paused.
#[derive(Debug, Default)]
pub struct SimulatedDaemon {
    pub owner: Option<JobOwner>,
    /// Incarnation of the process; responses to an earlier one are dropped.
    pub incarnation: u64,
    pub paused_until: u64,
    /// Until when the daemon can reach neither the store nor most workers.
    pub partitioned_until: u64,
    pub is_committing: bool,
    pub last_commit: u64,
    /// Events that arrived while the process was paused.
    pub queued: Vec<crate::simulation_event::SimulationEvent>,
}
