//! The pause before a call is tried again.

use std::time::Duration;

/// The pause after the first call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause: what an outage made wait goes on soon after it.
const PAUSE_MAX: Duration = Duration::from_millis(400);

/// Pauses twice as long after each call that fails, up to a bound, since calls are
/// paid for also while nothing answers them.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use sapphirestile_entry::RetryPause;
///
/// let mut pause = RetryPause::default();
/// assert_eq!(pause.after_fault(), Duration::from_millis(50));
/// assert_eq!(pause.after_fault(), Duration::from_millis(100));
/// pause.reset();
/// assert_eq!(pause.after_fault(), Duration::from_millis(50));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryPause {
    pause: Duration,
}

impl Default for RetryPause {
    fn default() -> Self {
        Self { pause: FIRST_PAUSE }
    }
}

impl RetryPause {
    /// The pause after another call that failed.
    pub fn after_fault(&mut self) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(PAUSE_MAX);
        pause
    }

    /// Begins anew, after a call that did not fail.
    pub const fn reset(&mut self) {
        self.pause = FIRST_PAUSE;
    }
}
