//! A task that another cell is to run.

use sapphirestile_core::CellNumber;
use serde::Deserialize;
use serde::Serialize;

use crate::spec::JobSpec;
use crate::spec::TaskIdentity;

/// A task of a job whose home is another cell, which this cell is to run from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedTask {
    /// Task to be run.
    pub task: TaskIdentity,
    /// Number of the transfer, in the sequence of the task's runs: higher than that of any
    /// run before.
    pub run: u32,
    /// Checkpoint that the next run resumes from; empty if it starts from scratch.
    pub checkpoint: Box<str>,
    /// Cell that has the job.
    pub home: CellNumber,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Time since the latest run of the task ended, as far as its owners have told, in
    /// milliseconds. It is stored behind what earlier versions read.
    #[serde(skip)]
    pub idle_ms: u64,
}
