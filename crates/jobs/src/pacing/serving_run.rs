//! View of a latency-sensitive run.

use crate::pacing::ImageNumber;
use crate::spec::JobIdentity;

/// A run that serves callers of its own, as the interference model sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingRun {
    /// Job of the run. The load by callers is spread over all tasks of the job.
    pub job: JobIdentity,
    /// Image of the task.
    pub image: ImageNumber,
    /// Latency that the callers see, in milliseconds; 0 if not known yet.
    pub latency_ms: u64,
    /// Upper limit for the latency, in milliseconds.
    pub target_ms: u64,
}

impl ServingRun {
    /// Latency in percent of its target.
    #[must_use]
    pub const fn percent(&self) -> u64 {
        let target_ms = if self.target_ms == 0 {
            1
        } else {
            self.target_ms
        };
        self.latency_ms * 100 / target_ms
    }
}
