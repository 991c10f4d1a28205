//! How many threads sessions take.

const MILLIS_PER_SECOND: u64 = 1_000;

/// The sessions of one daemon: one each second to each worker, each taking a
/// thread for as long as it lasts.
///
/// # Examples
///
/// ```
/// use sapphirestile_capacity::SessionLoad;
///
/// let load = SessionLoad { workers: 1_243, silent: 0, round_trip_ms: 16, timeout_ms: 1_500, threads: 16 };
/// assert_eq!(load.busy_ms(), 19_888);
/// assert_eq!(load.interval_ms(), 1_243);
/// let rack = SessionLoad { silent: 11, ..load };
/// assert_eq!(rack.interval_ms(), 2_263);
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
    /// The threads that call workers.
    pub threads: u64,
}

impl SessionLoad {
    /// Thread time for one session with each worker, in milliseconds.
    #[must_use]
    pub const fn busy_ms(&self) -> u64 {
        (self.workers - self.silent) * self.round_trip_ms + self.silent * self.timeout_ms
    }

    /// How far apart two sessions with a worker are, in milliseconds: the second
    /// that is wanted, or what the threads can do.
    #[must_use]
    pub const fn interval_ms(&self) -> u64 {
        let possible = self.busy_ms() / self.threads;
        if possible < MILLIS_PER_SECOND {
            MILLIS_PER_SECOND
        } else {
            possible
        }
    }
}
