//! The ledger as the store has it.

use sapphirestile_slots::TokenLedger;

/// The ledger, and the revision of its row; 0 when there is none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerRow {
    /// The ledger.
    pub ledger: TokenLedger,
    /// The revision.
    pub revision: u64,
}
