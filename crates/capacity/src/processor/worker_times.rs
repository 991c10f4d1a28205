//! Processor time of a worker session: the worker's side, measured on the stand-in of a
//! worker, and the daemon's codec and merge.

use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::FullReport;
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
use crate::fixtures::array_spec;
use crate::fixtures::task_name;
use crate::report::TimingSummary;
use crate::report::nanos_per_unit;
use crate::sessions::full_report;
use crate::sessions::full_request;
use crate::sessions::incarnation;
use crate::sessions::incremental_report;
use crate::sessions::incremental_request;
use crate::sessions::request_body;
use crate::sessions::response_body;

/// Repetitions within one measurement.
const REPETITIONS: usize = 200;

/// Measures full and incremental sessions by the number of tasks on the worker.
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
        let full = TimingSummary::measure(rounds, || time_full_renewals(&mut state));
        let full_codec =
            TimingSummary::measure(rounds, || time_codec(&full_request(0), &full_report(tasks)));
        let incremental = TimingSummary::measure(rounds, || time_incremental_renewals(&mut state));
        let response = incremental_report(tasks, 0);
        let incremental_codec =
            TimingSummary::measure(rounds, || time_codec(&incremental_request(), &response));
        let merge = TimingSummary::measure(rounds, || time_merge(tasks));
        table.add(&[
            &tasks,
            &full,
            &full_codec,
            &incremental,
            &incremental_codec,
            &merge,
        ]);
    }
    table
}

/// Returns the nanoseconds of one renewal on the worker that reports all tasks.
fn time_full_renewals(state: &mut WorkerState) -> u128 {
    let body = request_body(&full_request(0));
    nanos_per_unit(REPETITIONS, || {
        for _ in 0..REPETITIONS {
            renew(state, &body);
        }
    })
}

/// Returns the nanoseconds of one renewal on the worker that reports no changes.
fn time_incremental_renewals(state: &mut WorkerState) -> u128 {
    let mut known = renew(state, &request_body(&full_request(0)));
    nanos_per_unit(REPETITIONS, || {
        for _ in 0..REPETITIONS {
            let request = SessionRequest {
                known: Some(known),
                ..full_request(0)
            };
            known = renew(state, &request_body(&request));
        }
    })
}

/// Decodes a request, renews the session, encodes the response, and returns the report
/// that the next request can be relative to.
fn renew(state: &mut WorkerState, body: &[u8]) -> KnownReport {
    let request: SessionRequest = serde_json::from_slice(body).expect("the request body decodes");
    let report = state.renew(MonoTime::from_millis(1_000), &request);
    let report = report.expect("the epoch of the request is current");
    std::hint::black_box(response_body(&report));
    KnownReport {
        incarnation: report.incarnation,
        permit: report.permit,
    }
}

/// Returns the nanoseconds of the daemon's codec: encoding a request and decoding its
/// response.
fn time_codec(request: &SessionRequest, report: &SessionReport) -> u128 {
    let body = response_body(report);
    nanos_per_unit(REPETITIONS, || {
        for _ in 0..REPETITIONS {
            std::hint::black_box(request_body(request));
            let report = serde_json::from_slice::<SessionReport>(&body);
            std::hint::black_box(report.expect("the response body decodes"));
        }
    })
}

/// Returns the nanoseconds of merging a response without changes into the full report.
fn time_merge(tasks: u32) -> u128 {
    let mut full = merged_report(tasks);
    let mut permit = 0;
    nanos_per_unit(REPETITIONS, || {
        for _ in 0..REPETITIONS {
            let changes = ReportChanges {
                mark: report_mark(permit + 1),
                base: Some(permit),
                count: tasks,
                changed: Vec::new(),
                gone: Vec::new(),
            };
            full.merge(&changes)
                .expect("the base report was merged before");
            permit += 1;
        }
    })
}

/// A full report of `tasks` running attempts, as the daemon holds it.
fn merged_report(tasks: u32) -> FullReport {
    let rows = (0..tasks).map(|index| AttemptReport {
        task: task_name(0, index),
        attempt: AttemptNumber::new(1),
        phase: ReportedPhase::Running,
        checkpoint_ms: 0,
        usage: ResourceSize::default(),
        throttle_cpu_milli: None,
    });
    let mut full = FullReport::default();
    let changes = ReportChanges {
        mark: report_mark(0),
        base: None,
        count: tasks,
        changed: rows.collect(),
        gone: Vec::new(),
    };
    full.merge(&changes).expect("the report contains all tasks");
    full
}

const fn report_mark(permit: u64) -> ReportMark {
    ReportMark {
        incarnation: incarnation(),
        permit,
    }
}

/// The state of a worker with `tasks` running tasks of one job.
fn running_worker(tasks: u32) -> WorkerState {
    let mut state = WorkerState::new(WorkerSettings::default(), incarnation());
    let now = MonoTime::from_millis(0);
    let request = full_request(0);
    let permit = state
        .renew(now, &request)
        .expect("a worker accepts its first session")
        .permit;
    let ArraySpec { size, run_ms, .. } = array_spec(0, tasks);
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
            .expect("the worker has free capacity");
    }
    state
}
