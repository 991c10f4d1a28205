//! Counters of one runner in a closed report.

use serde::Deserialize;
use serde::Serialize;

use crate::LedgerGeneration;
use sapphirestile_core::RunnerName;

/// The final counters of one runner between the reporter and the closed member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedTotal {
    /// The runner whose tokens are counted.
    pub runner: RunnerName,
    /// The ledger generation that added the runner.
    pub created_in: LedgerGeneration,
    /// All tokens that the reporter ever sent to the closed member.
    pub sent: u64,
    /// All tokens that the reporter ever received from the closed member.
    pub received: u64,
}
