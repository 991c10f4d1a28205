//! Refusals of calls by a worker.

use serde::Deserialize;
use serde::Serialize;

/// Why the worker refused a call. Nothing was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum WorkerRefusal {
    /// The epoch is outdated: a session with a higher one was opened.
    StaleEpoch {
        /// The highest epoch that the worker has seen.
        highest: u64,
    },
    /// The permit was invalidated or is too old.
    StalePermit,
    /// The free resources do not suffice for the task.
    NoRoom,
    /// The worker is leaving, or its zone was cleared.
    Leaving,
    /// The request is invalid.
    BadCall {
        /// What is invalid about the request.
        detail: String,
    },
}
