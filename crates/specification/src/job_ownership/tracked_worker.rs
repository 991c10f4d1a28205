//! The owner's view of a worker.

use crate::job_ownership::worker_process::WorkerProcess;

/// What an owner knows about a worker. Ends of runs are counted from 1 by the worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TrackedWorker {
    /// Whether it has responded to this owner.
    pub has_responded: bool,
    /// Whether the latest poll got no response. Its leases are not extended then.
    pub is_unresponsive: bool,
    /// Whether the latest write of the head row that is known to be stored lists it. It gets
    /// no leases then.
    pub is_listed: bool,
    /// The incarnation that responded last.
    pub process: WorkerProcess,
    /// Ticks by which the owner's estimate of its clock is behind.
    pub clock_lag: u8,
    /// Latest end of a lease that it may have been granted, on its clock.
    pub lease_end: u8,
    /// Number of the latest end that the owner has received.
    pub received_end: u8,
    /// Number of the latest end whose consequences are stored.
    pub stored_end: u8,
    /// Number of the latest end that was acknowledged to the worker.
    pub acknowledged_end: u8,
}

impl TrackedWorker {
    /// Whether the owner may grant leases to it once the head row does not list it.
    pub(crate) const fn is_usable(&self) -> bool {
        self.has_responded && !self.is_unresponsive
    }

    /// Removes what was known about an earlier incarnation, if `process` is another one.
    /// Returns whether it is.
    pub(crate) fn replace_process(&mut self, process: WorkerProcess) -> bool {
        if self.process == process {
            return false;
        }
        *self = Self {
            is_listed: self.is_listed,
            process,
            ..Self::default()
        };
        true
    }

    /// Updates the estimate from a response that showed `clock` and arrived at `now`. Before
    /// the first response, an earlier owner may have granted leases that end within
    /// `lease_left`; the poll has fenced that owner, so it can grant no more.
    pub(crate) fn update_clock(&mut self, clock: u8, lease_left: u8, now: u8) {
        if !self.has_responded {
            self.lease_end = clock + lease_left;
        }
        self.has_responded = true;
        self.is_unresponsive = false;
        self.clock_lag = now - clock;
    }
}
