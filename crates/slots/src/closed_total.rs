//! One runner of a closed report.

use serde::Deserialize;
use serde::Serialize;

use crate::LedgerGeneration;
use sapphirestile_core::RunnerName;

/// The last counters between the reporter and the closed member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedTotal {
    /// The runner.
    pub runner: RunnerName,
    /// The generation that added the runner.
    pub birth: LedgerGeneration,
    /// Tokens that the reporter ever sent to the closed member.
    pub sent: u64,
    /// Tokens that the reporter ever received from the closed member.
    pub received: u64,
}
