//! A request to create a lease.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DecimalNumber;

/// Creates a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The time until the lease expires unless it is renewed, in seconds.
    #[serde(rename = "TTL")]
    pub ttl_seconds: DecimalNumber,
}
