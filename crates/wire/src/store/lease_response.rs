//! The response to creating or renewing a lease.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DecimalNumber;

/// A lease and its remaining time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The id of the lease.
    #[serde(default, rename = "ID")]
    pub lease: DecimalNumber,
    /// The remaining time, in seconds; 0 when the lease has expired.
    #[serde(default, rename = "TTL")]
    pub ttl_seconds: DecimalNumber,
}
