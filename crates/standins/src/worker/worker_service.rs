//! Answers calls to a worker.

use crate::worker::served_worker::ServedWorker;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Serialize;

use crate::clock::StandinClock;
use crate::machine::MachineLoad;
use crate::serving::ReplyEnding;
use crate::serving::StandinCall;
use crate::serving::StandinReply;
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

const WHOLE_PERMILLE: u64 = 1_000;

/// A worker behind HTTP.
#[derive(Debug)]
pub struct WorkerService {
    clock: StandinClock,
    load: MachineLoad,
    inner: Mutex<ServedWorker>,
}

impl WorkerService {
    /// A worker that runs nothing, on a machine of its own.
    #[must_use]
    pub fn new(settings: WorkerSettings) -> Self {
        Self::beside(settings, MachineLoad::default())
    }

    /// A worker that runs nothing, on a machine whose load it makes.
    #[must_use]
    pub fn beside(settings: WorkerSettings, load: MachineLoad) -> Self {
        let clock = StandinClock::start();
        let incarnation = IncarnationNumber::new(clock.origin_unix_ms());
        let inner = ServedWorker {
            state: WorkerState::new(settings, incarnation),
            faults: WorkerFaults::default(),
        };
        Self {
            clock,
            load,
            inner: Mutex::new(inner),
        }
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.lock().faults = faults;
    }

    /// What the worker has run up to now, in the order of the starts.
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

    /// The processor time that tasks take now, in thousandths of a core.
    #[must_use]
    pub fn taken_cpu_milli(&self) -> u64 {
        self.lock().state.taken_cpu_milli()
    }

    /// How many running tasks are throttled.
    #[must_use]
    pub fn throttled_tasks(&self) -> usize {
        self.lock().state.throttled_tasks()
    }

    /// How sessions were answered.
    #[must_use]
    pub fn session_counts(&self) -> SessionCounts {
        self.lock().state.session_counts()
    }

    /// Begins a later life of the worker's program.
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
        let run_ms = start.run_ms.saturating_mul(permille) / WHOLE_PERMILLE;
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

    /// Carries out a call after the delay and loses its answer when asked to.
    fn carry_out(&self, work: impl FnOnce(MonoTime) -> StandinReply) -> StandinReply {
        let slow_ms = self.lock().faults.slow_ms;
        if slow_ms > 0 {
            std::thread::sleep(Duration::from_millis(slow_ms));
        }
        let reply = work(self.clock.now());
        let mut inner = self.lock();
        self.load.set(inner.state.taken_cpu_milli());
        if inner.faults.lose_answers == 0 {
            return reply;
        }
        inner.faults.lose_answers -= 1;
        reply.with_ending(ReplyEnding::Dropped)
    }

    fn lock(&self) -> MutexGuard<'_, ServedWorker> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinService for WorkerService {
    fn answer(&self, call: &StandinCall<'_>) -> StandinReply {
        match (call.method, call.path) {
            ("POST", "/v1/session") => {
                call.answer_json(|request| self.carry_out(|now| reply(self.renew(now, &request))))
            }
            ("POST", "/v1/start") => {
                call.answer_json(|start| self.carry_out(|now| reply(self.start(now, &start))))
            }
            ("POST", "/v1/stop") => call.answer_json(|stop| {
                self.carry_out(|now| reply(self.lock().state.stop(now, &stop)))
            }),
            ("POST", "/v1/throttle") => call.answer_json(|throttle| {
                self.carry_out(|now| reply(self.lock().state.throttle(now, &throttle)))
            }),
            ("POST", "/faults") => call.take_json(|faults| self.set_faults(faults)),
            ("GET", "/history") => StandinReply::json(200, &self.history()),
            _ => StandinReply::plain(404, b""),
        }
    }
}

fn reply(result: Result<impl Serialize, WorkerRefusal>) -> StandinReply {
    match result {
        Ok(body) => StandinReply::json(200, &body),
        Err(refusal) => StandinReply::json(409, &refusal),
    }
}
