//! Thread time of a daemon's sessions at the two-year size.

use crate::ResultTable;
use crate::sessions::SessionLoad;

/// Threads of a daemon for workers that answer.
const POOL_THREADS: u64 = 48;
/// Threads of a daemon for workers that have long been silent.
const SILENT_THREADS: u64 = 16;
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Workers of the whole installation at the two-year size.
const WORKERS: u64 = 8_700;

/// Calculates the thread time and intervals of the sessions of one daemon, for several
/// numbers of daemons, round-trip times and silent workers. Nothing is measured.
pub fn session_loads() -> ResultTable {
    let mut table = ResultTable::new(
        "Sessions of one daemon, 48 threads and 16 for silent workers, 1,000 ms time-out (worked out)",
        &[
            "daemons",
            "workers",
            "silent",
            "round trip ms",
            "thread ms a round",
            "interval ms",
            "interval of silent ms",
            "once, at first ms",
        ],
    );
    let cases = [
        (7, 1, 0),
        (7, 16, 0),
        (6, 16, 0),
        (7, 1, 40),
        (7, 16, 28),
        (7, 1, 249),
        (7, 16, 40),
        (7, 16, 249),
        (7, 16, 497),
    ];
    for (daemons, round_trip_ms, silent_workers) in cases {
        let load = SessionLoad {
            workers: WORKERS.div_ceil(daemons),
            silent_workers,
            round_trip_ms,
            timeout_ms: CALL_TIMEOUT_MS,
            threads: POOL_THREADS,
            silent_threads: SILENT_THREADS,
        };
        table.add(&[
            &daemons,
            &load.workers,
            &silent_workers,
            &round_trip_ms,
            &load.thread_time_ms(),
            &load.interval_ms(),
            &load.silent_interval_ms(),
            &load.first_silent_round_ms(),
        ]);
    }
    table
}
