//! A worker that is held for a job.

use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;

/// For whom a worker is held, and how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomHold {
    /// The job.
    pub job: JobName,
    /// When the hold ends.
    pub until: MonoTime,
}
