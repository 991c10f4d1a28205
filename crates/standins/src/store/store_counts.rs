//! How often the store was called.

use serde::Deserialize;
use serde::Serialize;

/// Calls by kind, those that failed among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Reads.
    pub ranges: u64,
    /// Transactions.
    pub txns: u64,
    /// Leases opened.
    pub grants: u64,
    /// Leases renewed.
    pub keeps: u64,
    /// Watches opened.
    pub watches: u64,
}
