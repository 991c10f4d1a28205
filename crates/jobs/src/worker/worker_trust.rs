//! Whether a worker gets new tasks.

use sapphirestile_core::MonoTime;

/// How many runs in a row may fail before a worker is set aside.
const FAILURES_MAX: u32 = 3;

/// How long a worker is set aside at first, in milliseconds.
const FIRST_PAUSE_MS: u64 = 2_000;

/// How long it is set aside at most, in milliseconds.
const PAUSE_MAX_MS: u64 = 16_000;

/// Sets a worker aside after several failures in a row, longer each time.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_jobs::WorkerTrust;
///
/// let mut trust = WorkerTrust::default();
/// for _ in 0..3 {
///     trust.note_failure(MonoTime::from_millis(0));
/// }
/// assert!(!trust.is_trusted(MonoTime::from_millis(1_999)));
/// assert!(trust.is_trusted(MonoTime::from_millis(2_000)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerTrust {
    failures: u32,
    pauses: u32,
    paused_until: MonoTime,
}

impl WorkerTrust {
    /// Takes note of a run that was done.
    pub const fn note_success(&mut self) {
        self.failures = 0;
        self.pauses = 0;
    }

    /// Takes note of a run that failed, or of a call without an answer.
    pub const fn note_failure(&mut self, now: MonoTime) {
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            self.set_aside(now);
        }
    }

    /// Sets the worker aside at once.
    pub const fn set_aside(&mut self, now: MonoTime) {
        let doubled = FIRST_PAUSE_MS << if self.pauses < 3 { self.pauses } else { 3 };
        let pause_ms = if doubled < PAUSE_MAX_MS {
            doubled
        } else {
            PAUSE_MAX_MS
        };
        self.failures = 0;
        self.pauses += 1;
        self.paused_until = now.plus_millis(pause_ms);
    }

    /// Whether the worker gets new tasks at `now`.
    #[must_use]
    pub fn is_trusted(&self, now: MonoTime) -> bool {
        now >= self.paused_until
    }
}
