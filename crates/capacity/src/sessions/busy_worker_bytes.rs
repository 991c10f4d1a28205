//! Bytes per second of the sessions of a busy worker.

use crate::ResultTable;
use crate::sessions::busy_worker::BusyWorker;
use crate::sessions::wire_bytes::head_bytes;

/// Measured virtual time.
const SECONDS: usize = 600;
/// CPU usage values of a task, which alternate.
const USAGE_LEVELS_CPU_MILLI: [u64; 2] = [650, 550];

/// Calculates the bytes per second of the sessions of one worker on the wire while tasks
/// start, write checkpoints and end, over ten minutes of virtual time. Reports contain all
/// tasks or only changes, and the CPU usage of all tasks changes at different intervals.
///
/// # Panics
///
/// When the stand-in of a worker cannot be started or reached.
#[must_use]
pub fn busy_worker_bytes() -> ResultTable {
    let heads = head_bytes();
    let mut table = ResultTable::new(
        "Sessions of a worker whose tasks run for 301 s, bytes a second over 600 s, HTTP heads included",
        &[
            "tasks",
            "reports",
            "usage moves each",
            "requests",
            "answers",
            "both",
            "most in one second",
        ],
    );
    let cases = [
        (8, true, SECONDS),
        (22, true, SECONDS),
        (32, true, SECONDS),
        (64, true, SECONDS),
        (22, false, SECONDS),
        (22, true, 60),
        (22, true, 10),
        (22, true, 1),
    ];
    for (tasks, incremental, usage_interval_s) in cases {
        let mut worker = BusyWorker::build(tasks);
        let (mut request_bytes, mut response_bytes, mut max_per_second) = (0, 0, 0);
        for second in 1..=SECONDS {
            let bodies = worker.advance_second(incremental);
            let request = bodies.request + heads.request;
            let response = bodies.response + heads.response;
            request_bytes += request;
            response_bytes += response;
            if second > 1 {
                max_per_second = max_per_second.max(request + response);
            }
            if second % usage_interval_s == 0 {
                worker.set_usage(USAGE_LEVELS_CPU_MILLI[second / usage_interval_s % 2]);
            }
        }
        let reports = if incremental { "changes" } else { "all" };
        let usage_interval = if usage_interval_s < SECONDS {
            format!("{usage_interval_s} s")
        } else {
            "never".to_owned()
        };
        let (request_bytes, response_bytes) = (request_bytes / SECONDS, response_bytes / SECONDS);
        table.add(&[
            &tasks,
            &reports,
            &usage_interval,
            &request_bytes,
            &response_bytes,
            &(request_bytes + response_bytes),
            &max_per_second,
        ]);
    }
    table
}
