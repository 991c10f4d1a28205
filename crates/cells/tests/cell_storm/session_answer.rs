//! Workers' answers to sessions.

use sapphirestile_cells::AttemptReport;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// A worker's answer to a session.
#[derive(Clone, Debug)]
pub struct SessionAnswer {
    pub worker: WorkerName,
    pub ordinal: u64,
    pub asked: MonoTime,
    pub permit: u64,
    pub tasks: Vec<AttemptReport>,
}
