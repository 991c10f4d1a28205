//! The worker's side of a session, on the stand-in of a worker.

use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::FullReport;
use sapphirestile_cells::JobSpec;
use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ReportMark;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_standins::worker::WorkerState;
use sapphirestile_wire::worker::KnownReport;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskStart;

use crate::ResultTable;
use crate::report::TimeSample;
use crate::report::nanos_of;
use crate::scenes::job_order;
use crate::scenes::task_name;
use crate::sessions::change_report;
use crate::sessions::first_request;
use crate::sessions::incarnation;
use crate::sessions::later_request;
use crate::sessions::report_body;
use crate::sessions::request_body;
use crate::sessions::whole_report;

const REPETITIONS: usize = 200;

pub fn worker_times(rounds: usize) -> ResultTable {
    let mut table = ResultTable::new(
        "A session by the tasks of the worker, us: median (least to most)",
        &[
            "tasks",
            "all: worker",
            "all: daemon's codec",
            "no change: worker",
            "no change: daemon's codec",
            "no change: daemon's merge",
        ],
    );
    for tasks in [1, 8, 22, 32] {
        let mut state = running_worker(tasks);
        let all = TimeSample::gather(rounds, || renew_all(&mut state));
        let codec = TimeSample::gather(rounds, || code(&first_request(0), &whole_report(tasks)));
        let some = TimeSample::gather(rounds, || renew_changes(&mut state));
        let short = change_report(tasks, 0);
        let short_codec = TimeSample::gather(rounds, || code(&later_request(), &short));
        let merge = TimeSample::gather(rounds, || merge(tasks));
        table.add(&[&tasks, &all, &codec, &some, &short_codec, &merge]);
    }
    table
}

fn renew_all(state: &mut WorkerState) -> u128 {
    let body = request_body(&first_request(0));
    nanos_of(REPETITIONS, || {
        for _ in 0..REPETITIONS {
            renew(state, &body);
        }
    })
}

fn renew_changes(state: &mut WorkerState) -> u128 {
    let mut known = renew(state, &request_body(&first_request(0)));
    nanos_of(REPETITIONS, || {
        for _ in 0..REPETITIONS {
            let request = SessionRequest {
                known: Some(known),
                ..first_request(0)
            };
            known = renew(state, &request_body(&request));
        }
    })
}

fn renew(state: &mut WorkerState, body: &[u8]) -> KnownReport {
    let request: SessionRequest = serde_json::from_slice(body).expect("a valid body");
    let report = state.renew(MonoTime::from_millis(1_000), &request);
    let report = report.expect("the epoch is the latest");
    std::hint::black_box(report_body(&report));
    KnownReport {
        incarnation: report.incarnation,
        permit: report.permit,
    }
}

/// Nanoseconds of encoding a request and decoding its answer.
fn code(request: &SessionRequest, report: &SessionReport) -> u128 {
    let answer = report_body(report);
    nanos_of(REPETITIONS, || {
        for _ in 0..REPETITIONS {
            std::hint::black_box(request_body(request));
            let report = serde_json::from_slice::<SessionReport>(&answer);
            std::hint::black_box(report.expect("a valid report"));
        }
    })
}

/// Nanoseconds of merging an answer without changes.
fn merge(tasks: u32) -> u128 {
    let mut whole = held_report(tasks);
    let mut permit = 0;
    nanos_of(REPETITIONS, || {
        for _ in 0..REPETITIONS {
            let changes = ReportChanges {
                mark: mark(permit + 1),
                base: Some(permit),
                count: tasks,
                changed: Vec::new(),
                gone: Vec::new(),
            };
            whole.merge(&changes).expect("the base is held");
            permit += 1;
        }
    })
}

fn held_report(tasks: u32) -> FullReport {
    let rows = (0..tasks).map(|index| AttemptReport {
        task: task_name(0, index),
        attempt: AttemptNumber::new(1),
        phase: ReportedPhase::Running,
        checkpoint_ms: 0,
        usage: ResourceSize::default(),
        throttle_cpu_milli: None,
    });
    let mut whole = FullReport::default();
    let all = ReportChanges {
        mark: mark(0),
        base: None,
        count: tasks,
        changed: rows.collect(),
        gone: Vec::new(),
    };
    whole.merge(&all).expect("the report is whole");
    whole
}

const fn mark(permit: u64) -> ReportMark {
    ReportMark {
        incarnation: incarnation(),
        permit,
    }
}

fn running_worker(tasks: u32) -> WorkerState {
    let mut state = WorkerState::new(WorkerSettings::default(), incarnation());
    let now = MonoTime::from_millis(0);
    let request = first_request(0);
    let permit = state.renew(now, &request).expect("a first session").permit;
    let JobSpec { size, run_ms, .. } = job_order(0, tasks);
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
