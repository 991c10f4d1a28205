//! The result of checking a lease.

use crate::store::ExpiredPhase;
use crate::store::LeaseCycle;
use crate::store::LivePhase;

/// The result of [`LeaseCycle::check`]: the lease in the phase that it has at that time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease has not expired; it may be renewed.
    Live(LeaseCycle<LivePhase>),
    /// The lease has expired and cannot be renewed.
    Expired(LeaseCycle<ExpiredPhase>),
}
