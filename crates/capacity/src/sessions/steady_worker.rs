//! A busy worker in virtual time.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_standins::worker::WorkerState;
use sapphirestile_wire::worker::KnownReport;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskSettled;
use sapphirestile_wire::worker::TaskStart;
use sapphirestile_wire::worker::TaskThrottle;

use crate::scenes::job_order;
use crate::scenes::task_name;
use crate::sessions::first_request;
use crate::sessions::incarnation;
use crate::sessions::report_body;
use crate::sessions::request_body;
use crate::sessions::session_size::SessionSize;

const SECOND_MS: u64 = 1_000;
/// The run time at which 8,700 workers of 22 tasks start 630 a second.
const RUN_MS: u64 = 301_000;

/// A worker that always has the same number of tasks, and its owner.
pub struct SteadyWorker {
    state: WorkerState,
    tasks: u32,
    started: u32,
    now: MonoTime,
    known: Option<KnownReport>,
    settled: Vec<TaskSettled>,
}

impl SteadyWorker {
    /// A worker whose tasks began at even distances.
    pub fn build(tasks: u32) -> Self {
        let mut worker = Self {
            state: WorkerState::new(WorkerSettings::default(), incarnation()),
            tasks,
            started: 0,
            now: MonoTime::from_millis(0),
            known: None,
            settled: Vec::new(),
        };
        worker.renew(true);
        for place in 0..tasks {
            worker.start(RUN_MS * u64::from(place) / u64::from(tasks));
        }
        worker
    }

    /// Lets a second pass and renews the session; the bytes of both bodies.
    pub fn second(&mut self, changes: bool) -> SessionSize {
        self.now = self.now.plus_millis(SECOND_MS);
        let (request, report) = self.renew(changes);
        let mut running = 0;
        for row in self.state.reports(self.now) {
            if row.phase == TaskPhase::Running {
                running += 1;
            } else {
                self.settled.push(TaskSettled {
                    task: row.task,
                    attempt: row.attempt,
                });
            }
        }
        for _ in running..self.tasks {
            self.start(0);
        }
        SessionSize {
            request: request_body(&request).len(),
            answer: report_body(&report).len(),
        }
    }

    /// Lets every task use `cpu_milli` thousandths of a core from now on.
    pub fn move_usage(&mut self, cpu_milli: u64) {
        let request = first_request(0);
        for row in self.state.reports(self.now) {
            let throttle = TaskThrottle {
                cell: request.cell,
                epoch: request.epoch,
                task: row.task,
                attempt: row.attempt,
                cpu_milli,
            };
            let throttled = self.state.throttle(self.now, &throttle);
            throttled.expect("the attempt is known");
        }
    }

    fn renew(&mut self, changes: bool) -> (SessionRequest, SessionReport) {
        let request = SessionRequest {
            known: self.known.filter(|_| changes),
            settled: std::mem::take(&mut self.settled),
            ..first_request(0)
        };
        let report = self.state.renew(self.now, &request);
        let report = report.expect("the epoch is the latest");
        self.known = Some(KnownReport {
            incarnation: report.incarnation,
            permit: report.permit,
        });
        (request, report)
    }

    fn start(&mut self, checkpoint_ms: u64) {
        let order = job_order(0, 1);
        let request = first_request(0);
        let start = TaskStart {
            cell: request.cell,
            epoch: request.epoch,
            permit: self.known.expect("a session is open").permit,
            task: task_name(0, self.started),
            attempt: AttemptNumber::new(1),
            size: order.size,
            run_ms: RUN_MS,
            checkpoint_ms,
        };
        self.started += 1;
        let started = self.state.start(self.now, &start, false);
        started.expect("the worker has room");
    }
}
