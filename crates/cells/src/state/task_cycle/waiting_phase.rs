//! The phase of a task that runs nowhere.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::AttemptNumber;

/// The task runs nowhere and waits for a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingPhase {
    /// The latest attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// Work covered by the latest checkpoint, in milliseconds of run time.
    pub checkpoint_ms: u64,
    /// How many attempts ended by an error of their own.
    pub failures: u32,
}
