//! The numbers of requests to a store.

use serde::Deserialize;
use serde::Serialize;

/// The numbers of requests of each kind since the store was started, including failed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// `/v3/kv/range`: reads.
    pub ranges: u64,
    /// `/v3/kv/txn`: transactions.
    pub txns: u64,
    /// `/v3/lease/grant`: grants of a lease.
    pub grants: u64,
    /// `/v3/lease/keepalive`: renewals of a lease.
    pub keeps: u64,
    /// `/v3/watch`: watches, each of which receives one batch of changes at most.
    pub watches: u64,
}
