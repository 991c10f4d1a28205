//! Thread time and intervals of worker sessions.

/// Intended interval of sessions with a worker that answers.
const ANSWERING_INTERVAL_MS: u64 = 1_000;
/// Intended interval of sessions with a worker that has long been silent.
const SILENT_INTERVAL_MS: u64 = 16_000;

/// Load of one daemon's sessions on its threads: one session each second with each worker
/// that answers, and one each 16 s with each worker that has long been silent. A session
/// occupies a thread until it ends. Workers that have long been silent have a thread pool
/// of their own.
///
/// # Examples
///
/// ```
/// use sapphirestile_capacity::SessionLoad;
///
/// let load = SessionLoad {
///     workers: 1_243,
///     silent_workers: 0,
///     round_trip_ms: 16,
///     timeout_ms: 1_500,
///     threads: 16,
///     silent_threads: 4,
/// };
/// assert_eq!(load.thread_time_ms(), 19_888);
/// assert_eq!(load.interval_ms(), 1_243);
/// let rack_silent = SessionLoad { silent_workers: 48, ..load };
/// assert_eq!(rack_silent.interval_ms(), 1_195);
/// assert_eq!(rack_silent.silent_interval_ms(), 18_000);
/// assert_eq!(rack_silent.first_silent_round_ms(), 5_695);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionLoad {
    /// Number of workers in the daemon's cells.
    pub workers: u64,
    /// Number of these workers that do not answer.
    pub silent_workers: u64,
    /// Duration of a session that is answered, in milliseconds.
    pub round_trip_ms: u64,
    /// Duration of a session that is not answered, in milliseconds.
    pub timeout_ms: u64,
    /// Number of threads that call workers that answer; above zero.
    pub threads: u64,
    /// Number of threads that call workers that have long been silent; above zero.
    pub silent_threads: u64,
}

impl SessionLoad {
    /// Returns the thread time of one session with each worker that answers, in milliseconds.
    #[must_use]
    pub const fn thread_time_ms(&self) -> u64 {
        (self.workers - self.silent_workers) * self.round_trip_ms
    }

    /// Returns the interval between two sessions with a worker that answers, in
    /// milliseconds: the intended second, or longer when the threads are too few.
    #[must_use]
    pub const fn interval_ms(&self) -> u64 {
        max_ms(self.thread_time_ms() / self.threads, ANSWERING_INTERVAL_MS)
    }

    /// Returns the interval between two sessions with a silent worker, in milliseconds: the
    /// intended 16 s, or longer when the threads are too few.
    #[must_use]
    pub const fn silent_interval_ms(&self) -> u64 {
        let achievable_ms = self.silent_workers * self.timeout_ms / self.silent_threads;
        max_ms(achievable_ms, SILENT_INTERVAL_MS)
    }

    /// Returns the interval of the one round in which workers fall silent, in milliseconds.
    /// Their sessions still time out on the threads of the workers that answer.
    #[must_use]
    pub const fn first_silent_round_ms(&self) -> u64 {
        let thread_time_ms = self.thread_time_ms() + self.silent_workers * self.timeout_ms;
        max_ms(thread_time_ms / self.threads, ANSWERING_INTERVAL_MS)
    }
}

const fn max_ms(value: u64, minimum: u64) -> u64 {
    if value < minimum { minimum } else { value }
}
