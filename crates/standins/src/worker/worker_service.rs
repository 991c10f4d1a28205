//! Handles requests to a worker.

use crate::worker::worker_inner::WorkerInner;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Serialize;

use crate::clock::StandinClock;
use crate::machine::MachineLoad;
use crate::serving::ResponseEnding;
use crate::serving::StandinRequest;
use crate::serving::StandinResponse;
use crate::serving::StandinService;
use crate::worker::HistoryRow;
use crate::worker::SessionCounts;
use crate::worker::WorkerFaults;
use crate::worker::WorkerSettings;
use crate::worker::WorkerState;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskStart;
use sapphirestile_wire::worker::WorkerRefusal;

const FULL_PERMILLE: u64 = 1_000;

/// Serves a [`WorkerState`] over HTTP, with injected faults.
#[derive(Debug)]
pub struct WorkerService {
    clock: StandinClock,
    load: MachineLoad,
    inner: Mutex<WorkerInner>,
}

impl WorkerService {
    /// Creates an idle worker on a machine without a runner.
    #[must_use]
    pub fn new(settings: WorkerSettings) -> Self {
        Self::with_load(settings, MachineLoad::default())
    }

    /// Creates an idle worker that updates `load` with the CPU time of its attempts, for the
    /// runner on the same machine. The incarnation is the current Unix time in milliseconds.
    #[must_use]
    pub fn with_load(settings: WorkerSettings, load: MachineLoad) -> Self {
        let clock = StandinClock::start();
        let incarnation = IncarnationNumber::new(clock.origin_unix_ms());
        let inner = WorkerInner {
            state: WorkerState::new(settings, incarnation),
            faults: WorkerFaults::default(),
        };
        Self {
            clock,
            load,
            inner: Mutex::new(inner),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.lock().faults = faults;
    }

    /// Every attempt that was started, in all incarnations, in the order of the starts.
    #[must_use]
    pub fn history(&self) -> Vec<HistoryRow> {
        let now = self.clock.now();
        let origin_ms = self.clock.origin_unix_ms();
        let mut inner = self.lock();
        inner.state.advance(now);
        let entries = inner.state.history().iter();
        let unix_ms = |time: MonoTime| origin_ms + time.as_millis();
        entries
            .map(|entry| HistoryRow {
                task: entry.task.clone(),
                attempt: entry.attempt,
                started_ms: unix_ms(entry.started),
                ended_ms: entry.ended.map(unix_ms),
                phase: entry.phase,
            })
            .collect()
    }

    /// The CPU time that the running attempts use, in thousandths of a core, as of the last
    /// call.
    #[must_use]
    pub fn used_cpu_milli(&self) -> u64 {
        self.lock().state.used_cpu_milli()
    }

    /// The number of running attempts that are throttled, as of the last call.
    #[must_use]
    pub fn throttled_tasks(&self) -> usize {
        self.lock().state.throttled_tasks()
    }

    /// The numbers of full and incremental reports since the worker was created.
    #[must_use]
    pub fn session_counts(&self) -> SessionCounts {
        self.lock().state.session_counts()
    }

    /// Simulates a restart of the worker's process: all attempts are stopped, all sessions are
    /// forgotten, and a new incarnation begins.
    pub fn restart(&self) {
        let now = self.clock.now();
        let unix_ms = self.clock.origin_unix_ms() + now.as_millis();
        let incarnation = IncarnationNumber::new(unix_ms);
        self.lock().state.restart(now, incarnation);
    }

    fn start(&self, now: MonoTime, start: &TaskStart) -> Result<(), WorkerRefusal> {
        let mut inner = self.lock();
        if inner.faults.refuse {
            return Err(WorkerRefusal::Leaving);
        }
        let fails = inner.faults.fail_all;
        let Some(permille) = inner.faults.run_permille else {
            return inner.state.start(now, start, fails);
        };
        let run_ms = start.run_ms.saturating_mul(permille) / FULL_PERMILLE;
        let start = TaskStart {
            run_ms,
            ..start.clone()
        };
        inner.state.start(now, &start, fails)
    }

    fn renew(
        &self,
        now: MonoTime,
        request: &SessionRequest,
    ) -> Result<SessionReport, WorkerRefusal> {
        let mut inner = self.lock();
        let mut report = inner.state.renew(now, request)?;
        if let Some(used) = inner.faults.used_size {
            for task in &mut report.tasks {
                task.usage = used;
            }
        }
        Ok(report)
    }

    /// Carries out a call after the injected delay, updates the load of the machine, and drops
    /// the response when that fault is injected.
    fn run_call(&self, work: impl FnOnce(MonoTime) -> StandinResponse) -> StandinResponse {
        let slow_ms = self.lock().faults.slow_ms;
        if slow_ms > 0 {
            std::thread::sleep(Duration::from_millis(slow_ms));
        }
        let response = work(self.clock.now());
        let mut inner = self.lock();
        self.load.set(inner.state.used_cpu_milli());
        if inner.faults.lose_answers == 0 {
            return response;
        }
        inner.faults.lose_answers -= 1;
        response.with_ending(ResponseEnding::Dropped)
    }

    fn lock(&self) -> MutexGuard<'_, WorkerInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinService for WorkerService {
    fn respond(&self, request: &StandinRequest<'_>) -> StandinResponse {
        match (request.method, request.path) {
            ("POST", "/v1/session") => request.respond_json(|request| {
                self.run_call(|now| call_response(self.renew(now, &request)))
            }),
            ("POST", "/v1/start") => request
                .respond_json(|start| self.run_call(|now| call_response(self.start(now, &start)))),
            ("POST", "/v1/stop") => request.respond_json(|stop| {
                self.run_call(|now| call_response(self.lock().state.stop(now, &stop)))
            }),
            ("POST", "/v1/throttle") => request.respond_json(|throttle| {
                self.run_call(|now| call_response(self.lock().state.throttle(now, &throttle)))
            }),
            ("POST", "/faults") => request.accept_json(|faults| self.set_faults(faults)),
            ("GET", "/history") => StandinResponse::json(200, &self.history()),
            _ => StandinResponse::plain(404, b""),
        }
    }
}

fn call_response(result: Result<impl Serialize, WorkerRefusal>) -> StandinResponse {
    match result {
        Ok(body) => StandinResponse::json(200, &body),
        Err(refusal) => StandinResponse::json(409, &refusal),
    }
}
