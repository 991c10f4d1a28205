//! The bounds of an owner.

/// The bounds of an owner, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerLimits {
    /// How long a lease is that a look or a start gives.
    pub lease_ms: u64,
    /// The longest lease that a worker takes.
    pub lease_max_ms: u64,
    /// How long after a stored batch leases may still end. A later owner waits as
    /// long for a worker that it cannot reach.
    pub authority_ms: u64,
    /// How long a job that is over is still known.
    pub remember_ms: u64,
}
