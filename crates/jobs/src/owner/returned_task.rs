//! A task that another cell gives back.

use sapphirestile_core::CellNumber;
use serde::Deserialize;
use serde::Serialize;

use crate::spec::TaskIdentity;

/// A delegated task that its cell could not place and gives back to the home of its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnedTask {
    /// Task that waits again.
    pub task: TaskIdentity,
    /// Number of the transfer, in the sequence of the task's runs: higher than that of any
    /// run before.
    pub run: u32,
    /// Checkpoint that the next run resumes from; empty if it starts from scratch.
    pub checkpoint: Box<str>,
    /// Cell that gives the task back.
    pub from: CellNumber,
    /// Time since the latest run of the task ended, as far as its owners have told, in
    /// milliseconds. It is stored behind what earlier versions read.
    #[serde(skip)]
    pub idle_ms: u64,
}
