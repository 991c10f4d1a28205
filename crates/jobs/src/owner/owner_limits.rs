//! Time limits of an owner.

/// Bound on clock drift: a worker's clock runs at most 1/40 slower than the owner's.
const DRIFT_DIVISOR: u64 = 40;

/// Time limits of an owner, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerLimits {
    /// Duration of the lease that a poll or a start grants.
    pub lease_ms: u64,
    /// Longest lease that a worker accepts.
    pub lease_max_ms: u64,
    /// Time after sending a stored batch within which all leases of the owner end.
    pub authority_ms: u64,
    /// How long a job is kept after its end.
    pub retention_ms: u64,
}

impl OwnerLimits {
    /// Duration of the lease that a deployed owner grants, in milliseconds. It is longer than
    /// a daemon takes to detect a failed owner, so that runs survive a change of owner.
    pub const LEASE_MS: u64 = 5_000;

    /// Time after sending a stored batch within which all leases of a deployed owner end, in
    /// milliseconds. A long-running task has to run again 9 s after its worker was lost, also
    /// if the owner fails up to two seconds later. A failed owner is replaced after about two
    /// seconds; the rest lets work continue while the store is unavailable.
    pub const AUTHORITY_MS: u64 = 6_200;

    /// Longest time that the longest lease takes on a worker's clock, in milliseconds of the
    /// owner's.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_jobs::OwnerLimits;
    ///
    /// let limits = OwnerLimits {
    ///     lease_ms: 5_000,
    ///     lease_max_ms: 6_000,
    ///     authority_ms: 12_000,
    ///     retention_ms: 60_000,
    /// };
    /// assert_eq!(limits.lease_bound_ms(), 6_150);
    /// assert_eq!(limits.authority_bound_ms(), 12_300);
    /// ```
    #[must_use]
    pub const fn lease_bound_ms(&self) -> u64 {
        self.lease_max_ms + self.lease_max_ms / DRIFT_DIVISOR
    }

    /// Longest time from sending a stored batch until the last lease of its owner ends on a
    /// worker's clock, in milliseconds.
    #[must_use]
    pub const fn authority_bound_ms(&self) -> u64 {
        self.authority_ms + self.authority_ms / DRIFT_DIVISOR
    }
}
