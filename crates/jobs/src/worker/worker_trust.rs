//! Whether a worker gets new tasks.

use sapphirestile_core::MonoTime;

/// How many runs in a row may fail before a worker is set aside.
const FAILURES_MAX: u32 = 3;

/// How long a worker is set aside at first, in milliseconds.
const FIRST_PAUSE_MS: u64 = 2_000;

/// How often the first pause is doubled at most.
const DOUBLINGS_MAX: u32 = 8;

/// How long it is set aside at most, in milliseconds: a task that lasts may find no
/// other room, and must not wait much longer for a worker that is sound again.
const PAUSE_MAX_MS: u64 = 4_000;

/// Sets a worker aside after several failures in a row, longer each time.
///
/// What fails while the worker is set aside was begun before, and says nothing new:
/// twelve starts without an answer at once count as much as three.
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
    pub fn note_failure(&mut self, now: MonoTime) {
        if !self.is_trusted(now) {
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            self.set_aside(now);
        }
    }

    /// Sets the worker aside at once, unless it is.
    pub fn set_aside(&mut self, now: MonoTime) {
        if !self.is_trusted(now) {
            return;
        }
        let doubled_ms = FIRST_PAUSE_MS << self.pauses.min(DOUBLINGS_MAX);
        let pause_ms = doubled_ms.min(PAUSE_MAX_MS);
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
