//! A job as the store holds it.

use crate::order::JobIdentity;
use crate::order::JobOrder;
use crate::state::JobRecord;

/// A job as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredJob {
    /// Its name.
    pub identity: JobIdentity,
    /// What its caller ordered.
    pub order: JobOrder,
    /// What an owner stored of it, if any did.
    pub record: Option<JobRecord>,
    /// Whether its caller wants no more of it.
    pub is_cancelled: bool,
}
