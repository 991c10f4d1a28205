//! Handles requests of a service.

use crate::runner::runner_inner::RunnerInner;
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
use crate::serving::ResponseEnding;
use crate::serving::StandinRequest;
use crate::serving::StandinResponse;
use crate::serving::StandinService;

const REQUEST_ID_HEADER: &str = "x-request-id";
const NOT_RUN_HEADER: &str = "x-not-run";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Serves a runner over HTTP, with injected faults.
#[derive(Debug)]
pub struct RunnerService {
    settings: RunnerSettings,
    slots: RunnerSlots,
    load: MachineLoad,
    inner: Mutex<RunnerInner>,
}

impl RunnerService {
    /// Creates an idle runner on a machine without batch tasks.
    #[must_use]
    pub fn new(settings: RunnerSettings) -> Self {
        Self::with_load(settings, MachineLoad::default())
    }

    /// Creates an idle runner whose requests are slowed down by the batch tasks of `load`,
    /// which the worker on the same machine updates.
    #[must_use]
    pub fn with_load(settings: RunnerSettings, load: MachineLoad) -> Self {
        Self {
            settings,
            slots: RunnerSlots::new(settings.slots),
            load,
            inner: Mutex::new(RunnerInner::default()),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: RunnerFaults) {
        self.lock().faults = faults;
    }

    /// The numbers of requests since the runner was created.
    #[must_use]
    pub fn counts(&self) -> RunnerCounts {
        let inner = self.lock();
        let executions = inner.executions.iter();
        RunnerCounts {
            runs: inner.runs,
            overruns: inner.overruns,
            most_in_flight: self.slots.peak_occupied(),
            connections: inner.connections,
            executions: executions
                .map(|(key, runs)| ExecutionCount {
                    key: key.clone(),
                    runs: *runs,
                })
                .collect(),
        }
    }

    fn handle_request(&self, request: &StandinRequest<'_>) -> StandinResponse {
        self.simulate_link_delay(request.is_first_on_connection);
        let Some(slot) = self.slots.try_acquire() else {
            self.lock().overruns += 1;
            let response = StandinResponse::plain(503, b"every slot is taken");
            let response = response.with_header(NOT_RUN_HEADER, HeaderValue::from_static("true"));
            return echo_id(response, request);
        };
        let slow_ms = self.record_run(request);
        let run_time = Duration::from_millis(self.settings.service_ms + slow_ms);
        std::thread::sleep(
            run_time
                + self
                    .load
                    .added_run_time(self.settings.interference_us_per_core),
        );
        drop(slot);
        self.build_response(request)
    }

    /// Sleeps for as long as the round trips on a long network link take.
    fn simulate_link_delay(&self, is_first_on_connection: bool) {
        let mut delay_ms = self.settings.request_delay_ms;
        if is_first_on_connection {
            self.lock().connections += 1;
            delay_ms += self.settings.connect_delay_ms;
        }
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
    }

    /// Counts a run. Returns the injected additional run time, in milliseconds.
    fn record_run(&self, request: &StandinRequest<'_>) -> u64 {
        let mut inner = self.lock();
        inner.runs += 1;
        let key = request.headers.get(IDEMPOTENCY_HEADER);
        if let Some(key) = key.and_then(|value| value.to_str().ok()) {
            *inner.executions.get_or_insert_with(key.to_owned(), || 0) += 1;
        }
        inner.faults.slow_ms
    }

    /// Builds the response to a request that was run, with at most one of the injected faults.
    fn build_response(&self, request: &StandinRequest<'_>) -> StandinResponse {
        let response = StandinResponse::plain(200, request.body);
        let faults = &mut self.lock().faults;
        if consume_one(&mut faults.drop_answers) {
            return response.with_ending(ResponseEnding::Dropped);
        }
        if consume_one(&mut faults.truncate_answers) {
            return echo_id(response, request).with_ending(ResponseEnding::Truncated);
        }
        if consume_one(&mut faults.foreign_answers) {
            return response.with_header(REQUEST_ID_HEADER, HeaderValue::from_static("another"));
        }
        echo_id(response, request)
    }

    fn lock(&self) -> MutexGuard<'_, RunnerInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinService for RunnerService {
    fn respond(&self, request: &StandinRequest<'_>) -> StandinResponse {
        match (request.method, request.path) {
            ("POST", "/faults") => request.accept_json(|faults| self.set_faults(faults)),
            ("GET", "/counts") => StandinResponse::json(200, &self.counts()),
            _ => self.handle_request(request),
        }
    }
}

/// Copies the request's `x-request-id` to the response.
fn echo_id(response: StandinResponse, request: &StandinRequest<'_>) -> StandinResponse {
    match request.headers.get(REQUEST_ID_HEADER) {
        Some(id) => response.with_header(REQUEST_ID_HEADER, id.clone()),
        None => response,
    }
}

/// Decrements the number of requests that a fault still applies to. Returns whether it
/// applied to this one.
fn consume_one(remaining: &mut u64) -> bool {
    let consumed = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    consumed
}
