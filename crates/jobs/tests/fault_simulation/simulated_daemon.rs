//! A daemon in the simulation.

use sapphirestile_jobs::JobOwner;

use crate::ownership_row::OwnershipRow;
use crate::seen_row::SeenRow;
use crate::simulation_event::SimulationEvent;

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
    /// The ownership row as the process read it last; `None` since its start.
    pub seen: Option<SeenRow>,
    /// Earliest time of the next read of the ownership row, in milliseconds.
    pub next_read: u64,
    /// Events that arrived while the process was paused.
    pub queued: Vec<SimulationEvent>,
}

impl SimulatedDaemon {
    /// Records a read of the ownership row, and returns the row with the time at which the
    /// process first read this write of it.
    pub fn read_row(&mut self, row: OwnershipRow, now: u64) -> SeenRow {
        let known = self.seen.filter(|seen| seen.row == row);
        *self.seen.insert(known.unwrap_or(SeenRow { row, at: now }))
    }

    /// Ends the process, which starts again `restart_ms` later without memory.
    pub fn crash(&mut self, now: u64, restart_ms: u64) {
        self.owner = None;
        self.incarnation += 1;
        self.queued.clear();
        self.seen = None;
        self.paused_until = self.paused_until.max(now + restart_ms);
    }
}
