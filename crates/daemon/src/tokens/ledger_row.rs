//! The token ledger as read from the store.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_slots::TokenLedger;

/// The token ledger, with the revision of its row and its unregistered members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerRow {
    /// The members and the tokens granted to each; empty when there is no ledger yet.
    pub ledger: TokenLedger,
    /// The revision of the ledger's row; 0 when there is no ledger yet.
    pub revision: u64,
    /// The members whose own registration the store no longer held when the ledger was
    /// read. This proves that they are gone: a daemon removes its registration as its last
    /// action, and a later incarnation replaces it.
    pub unregistered: Vec<DaemonIdentity>,
}
