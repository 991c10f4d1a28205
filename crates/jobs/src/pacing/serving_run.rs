//! A run with callers of its own.

use crate::order::JobIdentity;
use crate::pacing::ImageNumber;

/// A run with callers of its own, as its neighbours see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingRun {
    /// Its job: its tasks share what callers bring.
    pub job: JobIdentity,
    /// What it runs.
    pub image: ImageNumber,
    /// The latency that its callers see, in milliseconds; 0 when not known yet.
    pub latency_ms: u64,
    /// The latency that they must see, in milliseconds.
    pub target_ms: u64,
}

impl ServingRun {
    /// The latency in percent of its target.
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
