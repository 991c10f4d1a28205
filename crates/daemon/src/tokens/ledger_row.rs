//! The ledger as the store has it.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_slots::TokenLedger;

/// The ledger, with the revision of its row and the members that are gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerRow {
    /// The ledger.
    pub ledger: TokenLedger,
    /// The revision; 0 when there is no ledger.
    pub revision: u64,
    /// The members whose registration was not there any more, or was another's,
    /// when the ledger was read. A daemon takes its registration back as the last
    /// thing that it does, and a later incarnation replaces it.
    pub gone: Vec<DaemonIdentity>,
}
