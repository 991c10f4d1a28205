//! How many threads sessions take.

const MILLIS_PER_SECOND: u64 = 1_000;
const SILENT_INTERVAL_MS: u64 = 16_000;

/// The sessions of one daemon: one each second to each worker that answers, and
/// one each 16 s to each that has long been silent, each taking a thread for as
/// long as it lasts. Silent workers have threads of their own.
///
/// # Examples
///
/// ```
/// use sapphirestile_capacity::SessionLoad;
///
/// let load = SessionLoad {
///     workers: 1_243,
///     silent: 0,
///     round_trip_ms: 16,
///     timeout_ms: 1_500,
///     threads: 16,
///     silent_threads: 4,
/// };
/// assert_eq!(load.busy_ms(), 19_888);
/// assert_eq!(load.interval_ms(), 1_243);
/// let rack = SessionLoad { silent: 48, ..load };
/// assert_eq!(rack.interval_ms(), 1_195);
/// assert_eq!(rack.silent_interval_ms(), 18_000);
/// assert_eq!(rack.onset_ms(), 5_695);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionLoad {
    /// Workers of the daemon's cells.
    pub workers: u64,
    /// Those of them that do not answer.
    pub silent: u64,
    /// How long an answered session takes, in milliseconds.
    pub round_trip_ms: u64,
    /// How long a session without an answer takes, in milliseconds.
    pub timeout_ms: u64,
    /// The threads that call workers which answer.
    pub threads: u64,
    /// The threads that call silent workers.
    pub silent_threads: u64,
}

impl SessionLoad {
    /// Thread time for one session with each worker that answers, in milliseconds.
    #[must_use]
    pub const fn busy_ms(&self) -> u64 {
        (self.workers - self.silent) * self.round_trip_ms
    }

    /// How far apart two sessions with a worker that answers are, in milliseconds:
    /// the second that is wanted, or what the threads can do.
    #[must_use]
    pub const fn interval_ms(&self) -> u64 {
        at_least(self.busy_ms() / self.threads, MILLIS_PER_SECOND)
    }

    /// How far apart two sessions with a silent worker are, in milliseconds.
    #[must_use]
    pub const fn silent_interval_ms(&self) -> u64 {
        let possible = self.silent * self.timeout_ms / self.silent_threads;
        at_least(possible, SILENT_INTERVAL_MS)
    }

    /// How long one session with each worker takes, in milliseconds, when the silent
    /// ones have fallen silent since the session before.
    #[must_use]
    pub const fn onset_ms(&self) -> u64 {
        let busy_ms = self.busy_ms() + self.silent * self.timeout_ms;
        at_least(busy_ms / self.threads, MILLIS_PER_SECOND)
    }
}

const fn at_least(value: u64, least: u64) -> u64 {
    if value < least { least } else { value }
}
