//! Exponential backoff between retries.

use std::time::Duration;

/// The delay after the first failed call.
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// The upper bound of the delay. It is short, since work that waits out an outage
/// resumes only after it.
const DELAY_MAX: Duration = Duration::from_millis(400);

/// Doubles the delay after each failed call, up to an upper bound, since calls are
/// charged for even while the service is down.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use sapphirestile_entry::RetryBackoff;
///
/// let mut backoff = RetryBackoff::default();
/// assert_eq!(backoff.next_delay(), Duration::from_millis(50));
/// assert_eq!(backoff.next_delay(), Duration::from_millis(100));
/// backoff.reset();
/// assert_eq!(backoff.next_delay(), Duration::from_millis(50));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    delay: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self {
            delay: INITIAL_DELAY,
        }
    }
}

impl RetryBackoff {
    /// Returns the delay after another failed call and doubles the next one.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.delay;
        self.delay = (delay * 2).min(DELAY_MAX);
        delay
    }

    /// Returns what is left of the next delay after a call that took `elapsed`, and
    /// doubles the one after it. A call that timed out has waited already.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use sapphirestile_entry::RetryBackoff;
    ///
    /// let mut backoff = RetryBackoff::default();
    /// let left = backoff.remaining_delay(Duration::from_millis(20));
    /// assert_eq!(left, Duration::from_millis(30));
    /// let left = backoff.remaining_delay(Duration::from_millis(150));
    /// assert_eq!(left, Duration::ZERO);
    /// ```
    pub fn remaining_delay(&mut self, elapsed: Duration) -> Duration {
        self.next_delay().saturating_sub(elapsed)
    }

    /// Returns to the initial delay after a successful call.
    pub const fn reset(&mut self) {
        self.delay = INITIAL_DELAY;
    }
}
