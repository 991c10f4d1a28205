//! A daemon that accepts jobs and takes part in the election of their owner.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use error_stack::Report;
use sapphirestile_jobs::OperatorEvent;
use sapphirestile_serving::HttpPort;
use sapphirestile_serving::HttpService;
use sapphirestile_serving::PlannedStop;
use sapphirestile_serving::PortLimits;
use sapphirestile_serving::RequestGate;

use crate::context::EntryContext;
use crate::lifecycle::DrainingPhase;
use crate::lifecycle::EntryAdapters;
use crate::lifecycle::ServingPhase;
use crate::metrics::MetricsService;
use crate::owner::OwnerElection;
use crate::watching::EventWatcher;
use crate::watching::WatchUpdate;
use sapphirestile_core::MonoTime;
use sapphirestile_core::StepError;

/// The maximum number of connections on the callers' port.
const CALLER_CONNECTIONS_MAX: usize = 1_024;

/// The maximum number of connections on the readiness port.
const READY_CONNECTIONS_MAX: usize = 32;

/// The maximum number of connections on the metrics port.
const METRICS_CONNECTIONS_MAX: usize = 8;

/// The time within which a request body must arrive, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// The share of the shutdown grace period after which an answer ends its connection, in
/// percent. By then callers that connect again reach other daemons.
const SEND_AWAY_PERCENT: u64 = 50;

/// The share of the shutdown grace period during which a daemon keeps serving, in
/// percent.
const DRAIN_PERCENT: u64 = 70;

/// The share of the shutdown grace period by which every request has its answer, in
/// percent. What a caller sends after [`DRAIN_PERCENT`] is refused at once.
const ANSWERS_PERCENT: u64 = 85;

/// The time after that until the process ends at the latest, in milliseconds: an answer
/// still has to be sent.
const SEND_TIMEOUT_MS: u64 = 400;

/// The interval at which the process records that it runs.
const PAUSE_TICK: Duration = Duration::from_millis(250);

/// A daemon; `Phase` is its lifecycle phase.
pub struct EntryDaemon<Phase> {
    context: Arc<EntryContext>,
    phase: Phase,
}

impl EntryDaemon<ServingPhase> {
    /// Starts a daemon: opens its ports, watches the operators' state and joins the
    /// election of the job owner.
    ///
    /// # Errors
    ///
    /// [`StepError`] when a port cannot be bound.
    pub fn start(
        context: Arc<EntryContext>,
        adapters: EntryAdapters,
    ) -> Result<Self, Report<StepError>> {
        let operators = EventWatcher::new(Arc::clone(&context), adapters.operators);
        watch_operators(&context, operators, None);
        let copies = EventWatcher::new(Arc::clone(&context), adapters.copies);
        watch_operators(&context, copies.without_records(), Some(0));
        watch_pauses(&context);
        let gate = Arc::new(RequestGate::default());
        let settings = &context.settings.ports;
        let open = |address, connections, service: &Arc<dyn HttpService>| {
            let limits = PortLimits {
                connections,
                body_max_ms: BODY_TIMEOUT_MS,
            };
            HttpPort::open(address, limits, service, &gate)
        };
        let callers = open(settings.callers, CALLER_CONNECTIONS_MAX, &adapters.callers)?;
        let ready = open(settings.ready, READY_CONNECTIONS_MAX, &adapters.ready)?;
        let metrics: Arc<dyn HttpService> = Arc::new(MetricsService::new(Arc::clone(&context)));
        let mut open_ports = vec![callers, ready];
        if let Some(address) = settings.metrics {
            open_ports.push(open(address, METRICS_CONNECTIONS_MAX, &metrics)?);
        }
        let callers = open_ports[0].address();
        let election = OwnerElection::spawn(Arc::clone(&context), adapters.owner);
        tracing::info!(
            daemon = %context.settings.node.name,
            zone = %context.settings.node.zone,
            %callers,
            incarnation = context.incarnation,
            "started"
        );
        let phase = ServingPhase {
            ports: open_ports,
            gate,
            election,
        };
        Ok(Self { context, phase })
    }

    /// Begins a planned stop: the daemon reports that it is not ready and releases the
    /// ownership of the jobs, but still answers requests.
    #[must_use]
    pub fn drain(self) -> EntryDaemon<DrainingPhase> {
        let Self { context, phase } = self;
        let drain_started = context.clock.now();
        let answers_ms = context.settings.bounds.grace_ms * ANSWERS_PERCENT / 100;
        let answers_due = drain_started.plus_millis(answers_ms);
        context.request_stop(answers_due);
        tracing::info!("stops");
        let phase = DrainingPhase {
            _ports: phase.ports,
            gate: phase.gate,
            election: phase.election,
            drain_started,
            answers_due,
        };
        EntryDaemon { context, phase }
    }
}

impl EntryDaemon<DrainingPhase> {
    /// Keeps serving for most of the grace period, then refuses new requests and waits until
    /// all that were read are answered. Returns whether they are.
    #[must_use]
    pub fn finish(self) -> bool {
        let Self { context, phase } = self;
        let grace_ms = context.settings.bounds.grace_ms;
        let time_left = |end: MonoTime| {
            let left_ms = end.millis_since(context.clock.now());
            Duration::from_millis(left_ms)
        };
        let after = |percent| phase.drain_started.plus_millis(grace_ms * percent / 100);
        thread::sleep(time_left(after(SEND_AWAY_PERCENT)));
        let stop = PlannedStop::begin(phase.gate);
        thread::sleep(time_left(after(DRAIN_PERCENT)));
        let stop = stop.refuse();
        let end = phase.answers_due.plus_millis(SEND_TIMEOUT_MS);
        let report = stop.finish(time_left(phase.answers_due), time_left(end));
        let has_released = phase.election.is_finished();
        tracing::info!(
            read = report.read,
            refused = report.refused,
            unanswered = report.unanswered,
            has_released,
            "stopped"
        );
        report.is_complete()
    }
}

/// Follows a source of the operators' changes, from a listing or after a revision.
fn watch_operators(
    context: &Arc<EntryContext>,
    watcher: EventWatcher<OperatorEvent>,
    after: Option<u64>,
) {
    let context = Arc::clone(context);
    watcher.spawn(after, move |update| {
        match update {
            WatchUpdate::Snapshot(events) => {
                context.update_operator_state(|state| state.with_listing(&events));
                log_zones(&events);
            }
            WatchUpdate::Changes(events) if !events.is_empty() => {
                context.update_operator_state(|state| {
                    events
                        .iter()
                        .fold(state.clone(), |state, event| state.with_event(event))
                });
                log_zones(&events);
            }
            WatchUpdate::Changes(_) => {}
        }
        true
    });
}

fn log_zones(events: &[OperatorEvent]) {
    for event in events {
        match event {
            OperatorEvent::Configured(_) => {}
            OperatorEvent::ZoneOut(zone) => tracing::info!(%zone, "zone taken out of service"),
            OperatorEvent::ZoneBack(zone) => tracing::info!(%zone, "zone back in service"),
        }
    }
}

/// Records on a thread of its own that the process runs, until the context is dropped.
fn watch_pauses(context: &Arc<EntryContext>) {
    context.pauses.tick(context.clock.now());
    let watched = Arc::downgrade(context);
    let tick = move || {
        while let Some(context) = watched.upgrade() {
            if let Some(paused_ms) = context.pauses.tick(context.clock.now()) {
                tracing::warn!(paused_ms, "the process did not run");
            }
            drop(context);
            thread::sleep(PAUSE_TICK);
        }
    };
    let spawned = thread::Builder::new()
        .name("watch for pauses".to_owned())
        .spawn(tick);
    spawned.expect("failed to spawn the thread that watches for pauses");
}
