//! A run with callers of its own.

use crate::pacing::ImageNumber;

/// A run with callers of its own, as its neighbours see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServingRun {
    /// What it runs.
    pub image: ImageNumber,
    /// The latency that its callers see, in milliseconds; 0 when not known yet.
    pub latency_ms: u64,
    /// The latency that they must see, in milliseconds.
    pub target_ms: u64,
    /// The load that it is taken to have by itself, from 0 to 1.
    pub own_load: f64,
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
