//! The answer to a lease call.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DecimalNumber;

/// A lease and what is left of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The lease.
    #[serde(default, rename = "ID")]
    pub lease: DecimalNumber,
    /// What is left, in seconds; 0 when the lease has lapsed.
    #[serde(default, rename = "TTL")]
    pub ttl_seconds: DecimalNumber,
}
