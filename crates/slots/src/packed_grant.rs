//! One runner of a packed ledger.

use sapphirestile_core::RunnerName;
use serde::Deserialize;
use serde::Serialize;

use crate::LedgerGeneration;
use crate::MemberGrant;

/// One runner of a packed ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedGrant {
    /// The runner.
    pub runner: RunnerName,
    /// The generation that added the runner.
    pub birth: LedgerGeneration,
    /// The grant of each member, in the order of the ledger's members.
    pub grants: Vec<MemberGrant>,
}
