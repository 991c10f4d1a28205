//! Why a worker did nothing.

use serde::Deserialize;
use serde::Serialize;

/// A worker's refusal: nothing was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum WorkerRefusal {
    /// A session of a later epoch was opened.
    StaleEpoch {
        /// The highest epoch that the worker has seen.
        highest: u64,
    },
    /// The permit is void or too old.
    StalePermit,
    /// The task does not fit beside those that run.
    NoRoom,
    /// The worker is leaving or its zone was cleared.
    Leaving,
    /// The call was not understood.
    BadCall {
        /// What was wrong.
        detail: String,
    },
}
