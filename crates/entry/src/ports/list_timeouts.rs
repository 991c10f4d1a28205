//! Timeouts of a listing.

use std::time::Duration;

/// Timeouts of a listing, which may be large for its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListTimeouts {
    /// The longest wait for the next bytes.
    pub pause: Duration,
    /// The longest time until the listing is complete.
    pub total: Duration,
}

impl ListTimeouts {
    /// Timeouts of a listing that may take long as long as it goes on.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use sapphirestile_entry::ListTimeouts;
    ///
    /// let timeouts = ListTimeouts::each_pause(Duration::from_secs(1));
    /// assert_eq!(timeouts.total, Duration::MAX);
    /// ```
    #[must_use]
    pub const fn each_pause(pause: Duration) -> Self {
        Self {
            pause,
            total: Duration::MAX,
        }
    }
}
