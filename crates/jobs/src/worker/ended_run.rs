//! A run that has ended.

use serde::Deserialize;
use serde::Serialize;

use crate::spec::TaskIdentity;
use crate::worker::EndKind;

/// A run that has ended, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Sequence number of the end, from 1 in each incarnation of the worker.
    pub number: u64,
    /// Task that the run executed.
    pub task: TaskIdentity,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// Latest checkpoint; empty if none was saved.
    pub checkpoint: Box<str>,
}
