//! Where a task stands.

use serde::Deserialize;
use serde::Serialize;

use crate::state::Assignment;

/// Where a task stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// It runs nowhere.
    #[default]
    Waiting,
    /// It may run on a worker.
    Assigned(Assignment),
    /// It is done.
    Done,
}
