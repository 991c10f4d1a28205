//! A request to renew a lease.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DecimalNumber;

/// Renews a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepAliveRequest {
    /// The id of the lease.
    #[serde(rename = "ID")]
    pub lease: DecimalNumber,
}
