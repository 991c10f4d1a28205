//! One counter of a hand-over message.

use serde::Deserialize;
use serde::Serialize;

use crate::LedgerGeneration;
use sapphirestile_core::RunnerName;

/// How many tokens of one runner the sender ever handed to the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverTotal {
    /// The runner.
    pub runner: RunnerName,
    /// The generation that added the runner.
    pub birth: LedgerGeneration,
    /// All tokens ever handed over, in tokens.
    pub total: u64,
}
