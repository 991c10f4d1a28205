//! The slots that may still be in use.

use std::sync::Mutex;
use std::sync::PoisonError;

use sapphirestile_core::MonoTime;
use sapphirestile_routing::PendingRelease;
use sapphirestile_routing::PendingReleases;

/// Slots of attempts without a response, to be released when the runner can no longer be
/// working on them. Locked only for such attempts, not on the path of every request.
#[derive(Debug, Default)]
pub struct ReleaseQueue {
    releases: Mutex<PendingReleases>,
}

impl ReleaseQueue {
    /// Adds a pending release.
    pub fn push(&self, release: PendingRelease) {
        self.releases
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(release);
    }

    /// Releases the slots that are due at `now` and returns their number.
    pub fn release_due(&self, now: MonoTime) -> usize {
        self.releases
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .release_due(now)
    }

    /// The number of pending releases.
    #[must_use]
    pub fn len(&self) -> usize {
        self.releases
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// `true` if no release is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
