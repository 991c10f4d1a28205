//! A job without its tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::api::JobState;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;

/// One job of the answer of `GET /v1/jobs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Its name.
    pub job: JobName,
    /// The customer that it counts for.
    pub customer: CustomerName,
    /// The cell that it belongs to.
    pub cell: CellNumber,
    /// How far it has come.
    pub state: JobState,
    /// Whether it goes ahead of the backlog.
    pub urgent: bool,
    /// How many tasks it has.
    pub tasks: u32,
    /// How many of them run.
    pub running: u32,
    /// How many of them did all their work.
    pub finished: u32,
    /// How many of them ended without their work done.
    pub failed: u32,
}
