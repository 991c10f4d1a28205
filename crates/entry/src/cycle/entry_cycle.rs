//! The life of a daemon.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use error_stack::Report;
use sapphirestile_jobs::OperatorEvent;
use sapphirestile_serving::HttpPort;
use sapphirestile_serving::HttpService;
use sapphirestile_serving::PortLimits;
use sapphirestile_serving::RequestGate;

use crate::context::EntryContext;
use crate::cycle::DrainingPhase;
use crate::cycle::EntryPorts;
use crate::cycle::ServingPhase;
use crate::following::EventFollower;
use crate::following::FollowedEvent;
use crate::metrics::MetricsService;
use crate::owner::OwnershipKeeper;
use crate::ports::EventSource;
use sapphirestile_core::StepError;

/// The most connections of callers.
const CALLERS_MAX: usize = 1_024;

/// The most connections of those that ask whether the daemon is ready.
const READY_MAX: usize = 32;

/// The most connections of those that read metrics.
const METRICS_MAX: usize = 8;

/// The longest that a body may take to arrive, in milliseconds.
const BODY_MAX_MS: u64 = 10_000;

/// The share of its grace that a daemon serves on after it was told to stop, in
/// percent: callers on open connections are sent elsewhere meanwhile.
const LEAVE_PERCENT: u64 = 70;

/// The longest wait for the last answers, in milliseconds.
const LAST_ANSWERS_MS: u64 = 1_000;

/// The life of a daemon, in one phase.
pub struct EntryCycle<Phase> {
    context: Arc<EntryContext>,
    phase: Phase,
}

impl EntryCycle<ServingPhase> {
    /// Starts a daemon: opens its ports, follows operators, and takes part in
    /// owning the jobs.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub fn start(context: Arc<EntryContext>, ports: EntryPorts) -> Result<Self, Report<StepError>> {
        follow_operators(&context, ports.operators);
        let gate = Arc::new(RequestGate::default());
        let settings = &context.settings.ports;
        let open = |address, connections, service: &Arc<dyn HttpService>| {
            let limits = PortLimits {
                connections,
                body_max_ms: BODY_MAX_MS,
            };
            HttpPort::open(address, limits, service, &gate)
        };
        let callers = open(settings.callers, CALLERS_MAX, &ports.callers)?;
        let ready = open(settings.ready, READY_MAX, &ports.ready)?;
        let metrics: Arc<dyn HttpService> = Arc::new(MetricsService::new(Arc::clone(&context)));
        let mut open_ports = vec![callers, ready];
        if let Some(address) = settings.metrics {
            open_ports.push(open(address, METRICS_MAX, &metrics)?);
        }
        let callers = open_ports[0].address();
        let ownership = OwnershipKeeper::spawn(Arc::clone(&context), ports.sources);
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
            ownership,
        };
        Ok(Self { context, phase })
    }

    /// Begins a planned stop: the daemon is no longer ready and gives the jobs up,
    /// but still answers.
    #[must_use]
    pub fn drain(self) -> EntryCycle<DrainingPhase> {
        let Self { context, phase } = self;
        let since = context.clock.now();
        context.stop();
        tracing::info!("stops");
        let phase = DrainingPhase {
            _ports: phase.ports,
            gate: phase.gate,
            ownership: phase.ownership,
            since,
        };
        EntryCycle { context, phase }
    }
}

impl EntryCycle<DrainingPhase> {
    /// Serves on for most of the grace and ends after the last answer. Returns
    /// whether every request was answered.
    #[must_use]
    pub fn finish(self) -> bool {
        let Self { context, phase } = self;
        let grace_ms = context.settings.bounds.grace_ms;
        let leave = phase.since.plus_millis(grace_ms * LEAVE_PERCENT / 100);
        let left_ms = leave.millis_since(context.clock.now());
        thread::sleep(Duration::from_millis(left_ms));
        let is_empty = phase
            .gate
            .wait_empty(Duration::from_millis(LAST_ANSWERS_MS));
        let has_released = phase.ownership.is_finished();
        tracing::info!(is_empty, has_released, "stopped");
        is_empty
    }
}

fn follow_operators(context: &Arc<EntryContext>, source: Arc<dyn EventSource<OperatorEvent>>) {
    let follower = EventFollower::new(Arc::clone(context), source);
    let context = Arc::clone(context);
    follower.spawn(None, move |event| {
        match event {
            FollowedEvent::Whole(events) => {
                context.deployed.update(|view| view.replaced(&events));
                note_changes(&events);
            }
            FollowedEvent::Changed(events) if !events.is_empty() => {
                context.deployed.update(|view| {
                    events
                        .iter()
                        .fold(view.clone(), |view, event| view.changed(event))
                });
                note_changes(&events);
            }
            FollowedEvent::Changed(_) => {}
        }
        true
    });
}

fn note_changes(events: &[OperatorEvent]) {
    for event in events {
        match event {
            OperatorEvent::Configured(config) => {
                tracing::info!(
                    version = config.version,
                    queues = config.queues.len(),
                    "a configuration is in force"
                );
            }
            OperatorEvent::ZoneOut(zone) => tracing::info!(%zone, "a zone is out"),
            OperatorEvent::ZoneBack(zone) => tracing::info!(%zone, "a zone is back"),
        }
    }
}
