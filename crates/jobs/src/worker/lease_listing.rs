//! Whether the batches of an owner list a worker as one without new leases.

/// Whether the owner's batches list a worker as one to which it grants no lease. What is
/// stored must hold, so the owner grants a lease only while no batch that may be the latest
/// stored one lists the worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseListing {
    /// No batch lists the worker, and leases may be granted.
    #[default]
    Unlisted,
    /// The latest batch lists the worker.
    Listed,
    /// The latest batch no longer lists the worker, and is not known to be stored.
    Unlisting,
}

impl LeaseListing {
    /// The listing once the next batch is taken, which lists the worker or not.
    #[must_use]
    pub const fn in_next_batch(self, is_listed: bool) -> Self {
        match (self, is_listed) {
            (_, true) => Self::Listed,
            (Self::Unlisted, false) => Self::Unlisted,
            (Self::Listed | Self::Unlisting, false) => Self::Unlisting,
        }
    }
}
