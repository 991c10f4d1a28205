//! Renews a lease.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DecimalNumber;

/// Renews a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepCall {
    /// The lease.
    #[serde(rename = "ID")]
    pub lease: DecimalNumber,
}
