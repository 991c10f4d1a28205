//! How long a daemon lets others claim first.

use std::time::Duration;

/// The share of a processor from which a daemon claims at once.
const ENOUGH_SHARE: f64 = 0.5;

/// How long a daemon with no share at all would wait.
const DELAY_MAX: Duration = Duration::from_millis(300);

/// How long a daemon lets those with a larger share of a processor claim first: the
/// owner does most of the work.
///
/// # Examples
///
/// ```
/// use sapphirestile_entry::ClaimDelay;
///
/// assert_eq!(ClaimDelay::of(0.5).wait().as_millis(), 0);
/// assert_eq!(ClaimDelay::of(0.25).wait().as_millis(), 150);
/// assert_eq!(ClaimDelay::of(4.0).wait().as_millis(), 0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimDelay {
    wait: Duration,
}

impl ClaimDelay {
    /// The delay of a daemon with a share of a processor.
    #[must_use]
    pub fn of(cpu_share: f64) -> Self {
        let missing = (1.0 - cpu_share / ENOUGH_SHARE).clamp(0.0, 1.0);
        Self {
            wait: DELAY_MAX.mul_f64(missing),
        }
    }

    /// The time to wait.
    #[must_use]
    pub const fn wait(self) -> Duration {
        self.wait
    }
}
