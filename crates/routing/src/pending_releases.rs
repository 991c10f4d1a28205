//! The slots to be released at a later time.

use crate::PendingRelease;
use sapphirestile_core::MonoTime;

/// Pending releases of slots, in the order of their times.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_routing::PendingReleases;
///
/// let mut releases = PendingReleases::default();
/// assert_eq!(releases.release_due(MonoTime::from_millis(5)), 0);
/// ```
#[derive(Debug, Default)]
pub struct PendingReleases {
    releases: Vec<PendingRelease>,
}

impl PendingReleases {
    /// Adds a pending release.
    pub fn push(&mut self, release: PendingRelease) {
        let index = self
            .releases
            .partition_point(|other| other.until() <= release.until());
        self.releases.insert(index, release);
    }

    /// Releases the slots that are due at `now` and returns their number.
    ///
    /// # Panics
    ///
    /// If the pending releases are not in the order of their times.
    pub fn release_due(&mut self, now: MonoTime) -> usize {
        let due = self
            .releases
            .partition_point(|release| release.until() <= now);
        for release in self.releases.drain(..due) {
            assert!(
                release.release(now).is_ok(),
                "the pending releases of slots are out of order"
            );
        }
        due
    }

    /// The number of pending releases.
    #[must_use]
    pub fn len(&self) -> usize {
        self.releases.len()
    }

    /// Whether there is no pending release.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.releases.is_empty()
    }
}
