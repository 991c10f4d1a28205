//! One total of a handover message.

use serde::Deserialize;
use serde::Serialize;

use crate::LedgerGeneration;
use sapphirestile_core::RunnerName;

/// The total number of tokens of one runner that the sender ever handed to the
/// receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverTotal {
    /// The runner whose tokens are counted.
    pub runner: RunnerName,
    /// The ledger generation that added the runner.
    pub created_in: LedgerGeneration,
    /// The number of tokens ever handed over.
    pub total: u64,
}
