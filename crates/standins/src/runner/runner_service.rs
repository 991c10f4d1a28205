//! Answers requests of a service.

use crate::runner::served_runner::ServedRunner;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use oxhttp::model::HeaderValue;

use crate::machine::MachineLoad;
use crate::runner::ExecutionCount;
use crate::runner::RunnerCounts;
use crate::runner::RunnerFaults;
use crate::runner::RunnerSettings;
use crate::runner::RunnerSlots;
use crate::serving::ReplyEnding;
use crate::serving::StandinCall;
use crate::serving::StandinReply;
use crate::serving::StandinService;

const REQUEST_ID_HEADER: &str = "x-request-id";
const NOT_RUN_HEADER: &str = "x-not-run";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// A runner behind HTTP.
#[derive(Debug)]
pub struct RunnerService {
    settings: RunnerSettings,
    slots: RunnerSlots,
    load: MachineLoad,
    inner: Mutex<ServedRunner>,
}

impl RunnerService {
    /// A runner with nothing to do, on a machine of its own.
    #[must_use]
    pub fn new(settings: RunnerSettings) -> Self {
        Self::beside(settings, MachineLoad::default())
    }

    /// A runner with nothing to do, on a machine with this load of batch tasks.
    #[must_use]
    pub fn beside(settings: RunnerSettings, load: MachineLoad) -> Self {
        Self {
            settings,
            slots: RunnerSlots::new(settings.slots),
            load,
            inner: Mutex::new(ServedRunner::default()),
        }
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: RunnerFaults) {
        self.lock().faults = faults;
    }

    /// What the runner was given.
    #[must_use]
    pub fn counts(&self) -> RunnerCounts {
        let inner = self.lock();
        let executions = inner.executions.iter();
        RunnerCounts {
            runs: inner.runs,
            overruns: inner.overruns,
            most_in_flight: self.slots.most_taken(),
            connections: inner.connections,
            executions: executions
                .map(|(key, runs)| ExecutionCount {
                    key: key.clone(),
                    runs: *runs,
                })
                .collect(),
        }
    }

    fn serve(&self, call: &StandinCall<'_>) -> StandinReply {
        self.cross_link(call.opens_connection);
        let Some(slot) = self.slots.take() else {
            self.lock().overruns += 1;
            let reply = StandinReply::plain(503, b"every slot is taken");
            let reply = reply.with_header(NOT_RUN_HEADER, HeaderValue::from_static("true"));
            return echo_id(reply, call);
        };
        let slow_ms = self.record_run(call);
        let run_time = Duration::from_millis(self.settings.service_ms + slow_ms);
        std::thread::sleep(run_time + self.load.added_time(self.settings.disturbed_us));
        drop(slot);
        self.finish(call)
    }

    /// Waits as long as the round trips of a long link take.
    fn cross_link(&self, opens_connection: bool) {
        let mut delay_ms = self.settings.request_delay_ms;
        if opens_connection {
            self.lock().connections += 1;
            delay_ms += self.settings.connect_delay_ms;
        }
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
    }

    fn record_run(&self, call: &StandinCall<'_>) -> u64 {
        let mut inner = self.lock();
        inner.runs += 1;
        let key = call.headers.get(IDEMPOTENCY_HEADER);
        if let Some(key) = key.and_then(|value| value.to_str().ok()) {
            *inner.executions.get_or_insert_with(key.to_owned(), || 0) += 1;
        }
        inner.faults.slow_ms
    }

    fn finish(&self, call: &StandinCall<'_>) -> StandinReply {
        let reply = StandinReply::plain(200, call.body);
        let faults = &mut self.lock().faults;
        if spend(&mut faults.drop_answers) {
            return reply.with_ending(ReplyEnding::Dropped);
        }
        if spend(&mut faults.truncate_answers) {
            return echo_id(reply, call).with_ending(ReplyEnding::Truncated);
        }
        if spend(&mut faults.foreign_answers) {
            return reply.with_header(REQUEST_ID_HEADER, HeaderValue::from_static("another"));
        }
        echo_id(reply, call)
    }

    fn lock(&self) -> MutexGuard<'_, ServedRunner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinService for RunnerService {
    fn answer(&self, call: &StandinCall<'_>) -> StandinReply {
        match (call.method, call.path) {
            ("POST", "/faults") => call.take_json(|faults| self.set_faults(faults)),
            ("GET", "/counts") => StandinReply::json(200, &self.counts()),
            _ => self.serve(call),
        }
    }
}

fn echo_id(reply: StandinReply, call: &StandinCall<'_>) -> StandinReply {
    match call.headers.get(REQUEST_ID_HEADER) {
        Some(id) => reply.with_header(REQUEST_ID_HEADER, id.clone()),
        None => reply,
    }
}

fn spend(left: &mut u64) -> bool {
    let spent = *left > 0;
    *left = left.saturating_sub(1);
    spent
}
