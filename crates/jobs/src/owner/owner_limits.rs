//! Time limits of an owner.

/// Time limits of an owner, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerLimits {
    /// Duration of the lease that a poll or a start grants.
    pub lease_ms: u64,
    /// Longest lease that a worker accepts.
    pub lease_max_ms: u64,
    /// Time after sending a stored batch within which all leases of the owner end. The next
    /// owner waits this long before it reassigns tasks of a worker that it cannot reach.
    pub authority_ms: u64,
    /// How long a job is kept after its end.
    pub retention_ms: u64,
}
