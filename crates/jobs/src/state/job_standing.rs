//! How a job stands, as callers see it.

use serde::Deserialize;
use serde::Serialize;

/// How a job stands. It is the first field of a record, so that it can be read
/// without the rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStanding {
    /// No task has started yet.
    #[default]
    Waiting,
    /// A task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Its caller wants no more of it.
    Cancelled,
}

impl JobStanding {
    /// Whether the job is over: no task of it starts any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
