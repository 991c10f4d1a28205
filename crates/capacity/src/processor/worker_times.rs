//! The worker's side of a session, on the stand-in of a worker.

use sapphirestile_cells::JobOrder;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_standins::worker::WorkerState;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskStart;

use crate::ResultTable;
use crate::report::TimeSample;
use crate::report::nanos_of;
use crate::scenes::job_order;
use crate::scenes::task_name;
use crate::sessions::session_report;
use crate::sessions::session_request;

const REPETITIONS: usize = 200;

pub fn worker_times(rounds: usize) -> ResultTable {
    let mut table = ResultTable::new(
        "A session by the tasks of the worker, us: median (least to most)",
        &[
            "tasks",
            "worker: decode, renew, encode",
            "daemon: encode, decode",
        ],
    );
    for tasks in [1, 8, 22, 32] {
        let mut state = running_worker(tasks);
        let renew = TimeSample::gather(rounds, || renew_sessions(&mut state));
        let report = session_report(tasks);
        let decode = TimeSample::gather(rounds, || call_sessions(&report));
        table.add(&[&tasks, &renew, &decode]);
    }
    table
}

fn renew_sessions(state: &mut WorkerState) -> u128 {
    let body = session_request(0);
    nanos_of(REPETITIONS, || {
        for _ in 0..REPETITIONS {
            let request: SessionRequest = serde_json::from_slice(&body).expect("a valid body");
            let report = state.renew(MonoTime::from_millis(1_000), &request);
            let report = report.expect("the epoch is the latest");
            std::hint::black_box(serde_json::to_vec(&report).expect("a report is encodable"));
        }
    })
}

fn call_sessions(report: &[u8]) -> u128 {
    nanos_of(REPETITIONS, || {
        for _ in 0..REPETITIONS {
            std::hint::black_box(session_request(0));
            let report = serde_json::from_slice::<SessionReport>(report);
            std::hint::black_box(report.expect("a valid report"));
        }
    })
}

fn running_worker(tasks: u32) -> WorkerState {
    let mut state = WorkerState::new(WorkerSettings::default());
    let now = MonoTime::from_millis(0);
    let request: SessionRequest =
        serde_json::from_slice(&session_request(0)).expect("a valid body");
    let permit = state.renew(now, &request).expect("a first session").permit;
    let JobOrder { size, run_ms, .. } = job_order(0, tasks);
    for index in 0..tasks {
        let start = TaskStart {
            cell: request.cell,
            epoch: request.epoch,
            permit,
            task: task_name(0, index),
            attempt: AttemptNumber::new(1),
            size,
            run_ms,
            checkpoint_ms: 0,
        };
        state
            .start(now, &start, false)
            .expect("the worker has room");
    }
    state
}
