//! Bytes of the sessions of a busy worker.

use crate::ResultTable;
use crate::sessions::steady_worker::SteadyWorker;
use crate::sessions::wire_bytes::head_bytes;

const SECONDS: usize = 600;
const USAGES_CPU_MILLI: [u64; 2] = [650, 550];

/// The bytes a second that the sessions of a worker put on the wire while tasks
/// start, take checkpoints and end, over ten minutes of virtual time.
///
/// # Panics
///
/// When the stand-in of a worker cannot be reached.
#[must_use]
pub fn steady_bytes() -> ResultTable {
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
    for (tasks, changes, usage_s) in cases {
        let mut worker = SteadyWorker::build(tasks);
        let (mut sent, mut answered, mut most) = (0, 0, 0);
        for second in 1..=SECONDS {
            let bodies = worker.second(changes);
            let request = bodies.request + heads.request;
            let report = bodies.answer + heads.answer;
            sent += request;
            answered += report;
            if second > 1 {
                most = most.max(request + report);
            }
            if second % usage_s == 0 {
                worker.move_usage(USAGES_CPU_MILLI[second / usage_s % 2]);
            }
        }
        let reports = if changes { "changes" } else { "all" };
        let moves = if usage_s < SECONDS {
            format!("{usage_s} s")
        } else {
            "never".to_owned()
        };
        let (sent, answered) = (sent / SECONDS, answered / SECONDS);
        table.add(&[
            &tasks,
            &reports,
            &moves,
            &sent,
            &answered,
            &(sent + answered),
            &most,
        ]);
    }
    table
}
