//! Whether an owner may grant a worker leases.

/// Whether an owner may grant a worker leases. The stored bounds on leases must hold, so a
/// worker that a batch lists with a bound of its own gets none until a batch that does not
/// list it is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseGrant {
    /// Leases may be granted.
    #[default]
    Allowed,
    /// The latest batch says that the worker gets none.
    Withheld,
    /// The latest batch no longer says so, and is not known to be stored.
    Resuming,
}

impl LeaseGrant {
    /// The state once the next batch is taken, which says that the worker gets no lease or
    /// does not.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_jobs::LeaseGrant;
    ///
    /// let grant = LeaseGrant::Allowed.in_next_batch(true);
    /// assert_eq!(grant, LeaseGrant::Withheld);
    /// assert_eq!(grant.in_next_batch(false), LeaseGrant::Resuming);
    /// assert_eq!(grant.in_next_batch(false).when_stored(), LeaseGrant::Allowed);
    /// ```
    #[must_use]
    pub const fn in_next_batch(self, is_withheld: bool) -> Self {
        match (self, is_withheld) {
            (_, true) => Self::Withheld,
            (Self::Allowed, false) => Self::Allowed,
            (Self::Withheld | Self::Resuming, false) => Self::Resuming,
        }
    }

    /// The state once the latest batch is stored.
    #[must_use]
    pub const fn when_stored(self) -> Self {
        match self {
            Self::Resuming => Self::Allowed,
            grant => grant,
        }
    }
}
