//! Phase of a task that waits for a worker.

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
    /// Number of attempts that failed on their own.
    pub failures: u32,
}
