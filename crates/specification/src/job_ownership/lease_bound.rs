//! Bound for the leases of a worker.

use crate::job_ownership::job_bounds::BOUND_TICKS;

/// What a write of the head row says about the leases that a worker may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseBound {
    /// The writer may grant leases to the worker, so only its authority bounds them.
    #[default]
    MayBeGranted,
    /// The worker is listed: the writer grants no lease to it.
    Listed {
        /// Ticks from the write until every lease that the worker may hold has ended.
        left: u8,
    },
}

impl LeaseBound {
    /// Ticks from the write until every lease that the worker may hold has ended.
    pub(crate) const fn left(self) -> u8 {
        match self {
            Self::MayBeGranted => BOUND_TICKS,
            Self::Listed { left } => left,
        }
    }

    /// Whether the worker is listed.
    pub(crate) const fn is_listed(self) -> bool {
        matches!(self, Self::Listed { .. })
    }
}
