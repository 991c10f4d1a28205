//! A point in time on a monotonic clock.

use serde::Deserialize;
use serde::Serialize;

/// A point in time on the monotonic clock of one process, in milliseconds.
///
/// Code that makes decisions does not read a clock: its caller passes the time.
/// Values of different processes are not comparable.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
///
/// let early = MonoTime::from_millis(1_000);
/// let late = early.plus_millis(250);
/// assert_eq!(late.millis_since(early), 250);
/// assert_eq!(early.millis_since(late), 0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The point `millis` milliseconds after the clock's origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the clock's origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The point `millis` milliseconds later, at most the largest point.
    #[must_use]
    pub const fn plus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// Milliseconds from `earlier` to this point; zero if `earlier` is not earlier.
    #[must_use]
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
