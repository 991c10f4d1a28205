//! Workers that the daemons can reach.

use crate::job_ownership::job_bounds::DAEMONS;

/// Which workers each daemon can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachableWorkers {
    /// Every daemon reaches every worker.
    All,
    /// Each daemon reaches only the worker with the number at its position.
    One([u8; DAEMONS]),
}

impl ReachableWorkers {
    /// Whether `daemon` can reach `worker`.
    pub(crate) const fn includes(self, daemon: u8, worker: u8) -> bool {
        match self {
            Self::All => true,
            Self::One(workers) => workers[daemon as usize] == worker,
        }
    }

    /// Whether some workers cannot be reached by some daemons.
    pub(crate) const fn is_partitioned(self) -> bool {
        matches!(self, Self::One(_))
    }
}
