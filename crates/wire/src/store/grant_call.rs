//! Opens a lease.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DecimalNumber;

/// Opens a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantCall {
    /// How long the lease lasts without renewal, in seconds.
    #[serde(rename = "TTL")]
    pub ttl_seconds: DecimalNumber,
}
