//! A worker with a constant number of tasks, in virtual time.

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

use crate::fixtures::array_spec;
use crate::fixtures::task_name;
use crate::sessions::exchange_bytes::ExchangeBytes;
use crate::sessions::full_request;
use crate::sessions::incarnation;
use crate::sessions::request_body;
use crate::sessions::response_body;

const MS_PER_SECOND: u64 = 1_000;
/// Run time of a task at which 8,700 workers with 22 tasks each start about 630 tasks/s.
const TASK_RUN_MS: u64 = 301_000;

/// The state of a worker that always has the same number of tasks, together with the part of
/// its owner in their sessions: known report, settled tasks and new starts.
pub struct BusyWorker {
    state: WorkerState,
    tasks: u32,
    /// Index of the next task to start; all tasks belong to one job.
    next_task: u32,
    now: MonoTime,
    known: Option<KnownReport>,
    settled: Vec<TaskSettled>,
}

impl BusyWorker {
    /// Builds a worker with `tasks` tasks, whose start times are spread evenly over the run
    /// time.
    pub fn build(tasks: u32) -> Self {
        let mut worker = Self {
            state: WorkerState::new(WorkerSettings::default(), incarnation()),
            tasks,
            next_task: 0,
            now: MonoTime::from_millis(0),
            known: None,
            settled: Vec::new(),
        };
        worker.renew(true);
        for index in 0..tasks {
            worker.start(TASK_RUN_MS * u64::from(index) / u64::from(tasks));
        }
        worker
    }

    /// Advances the clock by one second, renews the session and replaces ended tasks. With
    /// `incremental`, the report lists only changes. Returns the bytes of both bodies.
    pub fn advance_second(&mut self, incremental: bool) -> ExchangeBytes {
        self.now = self.now.plus_millis(MS_PER_SECOND);
        let (request, report) = self.renew(incremental);
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
        ExchangeBytes {
            request: request_body(&request).len(),
            response: response_body(&report).len(),
        }
    }

    /// Sets the CPU usage of every task to `cpu_milli` thousandths of a core.
    pub fn set_usage(&mut self, cpu_milli: u64) {
        let request = full_request(0);
        for row in self.state.reports(self.now) {
            let throttle = TaskThrottle {
                cell: request.cell,
                epoch: request.epoch,
                task: row.task,
                attempt: row.attempt,
                cpu_milli,
            };
            let throttled = self.state.throttle(self.now, &throttle);
            throttled.expect("the worker knows the attempt");
        }
    }

    /// Renews the session, and settles the tasks that ended since the last renewal.
    fn renew(&mut self, incremental: bool) -> (SessionRequest, SessionReport) {
        let request = SessionRequest {
            known: self.known.filter(|_| incremental),
            settled: std::mem::take(&mut self.settled),
            ..full_request(0)
        };
        let report = self.state.renew(self.now, &request);
        let report = report.expect("the epoch of the request is current");
        self.known = Some(KnownReport {
            incarnation: report.incarnation,
            permit: report.permit,
        });
        (request, report)
    }

    /// Starts a new task that continues from a checkpoint at `checkpoint_ms` of its run time.
    fn start(&mut self, checkpoint_ms: u64) {
        let spec = array_spec(0, 1);
        let request = full_request(0);
        let start = TaskStart {
            cell: request.cell,
            epoch: request.epoch,
            permit: self.known.expect("the session was renewed before").permit,
            task: task_name(0, self.next_task),
            attempt: AttemptNumber::new(1),
            size: spec.size,
            run_ms: TASK_RUN_MS,
            checkpoint_ms,
        };
        self.next_task += 1;
        let started = self.state.start(self.now, &start, false);
        started.expect("the worker has free capacity");
    }
}
