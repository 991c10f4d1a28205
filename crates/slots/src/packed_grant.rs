//! Grants of one runner in compact form.

use sapphirestile_core::RunnerName;
use serde::Deserialize;
use serde::Serialize;

use crate::LedgerGeneration;
use crate::MemberGrant;

/// The grants of one runner in a [`PackedLedger`](crate::packed_ledger::PackedLedger).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedGrant {
    /// The runner's name.
    pub runner: RunnerName,
    /// The ledger generation that added the runner.
    pub created_in: LedgerGeneration,
    /// The grant of each member, in the order of the ledger's members.
    pub grants: Vec<MemberGrant>,
}
