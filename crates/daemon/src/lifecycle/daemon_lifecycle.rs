//! The life cycle of a daemon.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::bounded;
use crossbeam::channel::unbounded;
use error_stack::Report;
use tracing::info;

use crate::callers::AdmissionState;
use crate::context::DaemonContext;
use crate::lifecycle::DaemonAddresses;
use crate::lifecycle::DrainingPhase;
use crate::lifecycle::MaintenanceLoop;
use crate::lifecycle::PeerSockets;
use crate::lifecycle::ServingPhase;
use crate::lifecycle::StartingPhase;
use crate::lifecycle::daemon_threads::start_cells;
use crate::lifecycle::daemon_threads::start_heartbeats;
use crate::lifecycle::daemon_threads::start_slowdowns;
use crate::lifecycle::daemon_threads::start_tokens;
use crate::lifecycle::daemon_threads::start_vm_poller;
use crate::lifecycle::daemon_threads::start_watch;
use crate::lifecycle::drain_steps::hand_over_tokens;
use crate::lifecycle::drain_steps::remove_registration;
use crate::lifecycle::http_ports::open_callers;
use crate::lifecycle::http_ports::open_operators;
use crate::lifecycle::start_steps::new_context;
use crate::lifecycle::start_steps::open_store;
use crate::lifecycle::start_steps::register;
use crate::peers::PeerServer;
use crate::serving::PlannedStop;
use crate::serving::RequestGate;
use crate::settings::DaemonSettings;
use sapphirestile_core::StepError;
use sapphirestile_wire::peer::MemberState;

/// The interval at which a draining daemon looks whether its cells are released.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The minimum time for which a draining daemon keeps serving, so that the balancer sees
/// that it is not ready and moves its callers.
const UNREADY_SERVING_TIME: Duration = Duration::from_millis(1_500);

/// The longest time to wait at the very end until no more requests arrive at a port.
const QUIET_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest time to wait at the very end until the requests at a port are answered.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(1);

/// A daemon; `Phase` is the phase of its life cycle.
pub struct DaemonLifecycle<Phase> {
    phase: Phase,
}

impl DaemonLifecycle<StartingPhase> {
    /// Binds the ports and registers the daemon in the store. While the store is
    /// unreachable, this blocks and tries again.
    ///
    /// # Errors
    ///
    /// [`StepError`] when a port cannot be bound, or when the store's address in the
    /// settings has port 0.
    pub fn start(mut settings: DaemonSettings) -> Result<Self, Report<StepError>> {
        let peers = PeerSockets::bind(settings.node.peers)?;
        settings.node.peers = peers.address;
        let store = open_store(&settings)?;
        let identity = register(store.as_ref(), &settings);
        info!(step = "register daemon", peer = "store", daemon = %identity, "registered");
        let (token_events, tokens) = unbounded();
        let context = Arc::new(new_context(settings, identity, store, token_events));
        let gate = Arc::new(RequestGate::default());
        let admission = Arc::new(AdmissionState::default());
        let operators_gate = Arc::new(RequestGate::default());
        let callers = open_callers(&context, &gate, &admission)?;
        let operators = open_operators(&context, &operators_gate)?;
        let addresses = DaemonAddresses {
            callers: callers.address(),
            operators: operators.address(),
            peers: peers.address,
        };
        let ports = [callers, operators];
        Ok(Self {
            phase: StartingPhase {
                context,
                addresses,
                gate,
                operators_gate,
                admission,
                peers,
                tokens,
                ports,
            },
        })
    }

    /// Reads the shared rows and the list of VMs, starts the daemon's threads and serves.
    ///
    /// # Errors
    ///
    /// [`StepError`] when the socket for datagrams cannot be duplicated for a thread, or
    /// when the address of the VM list in the settings has port 0.
    pub fn serve(self) -> Result<DaemonLifecycle<ServingPhase>, Report<StepError>> {
        let StartingPhase {
            context,
            addresses,
            gate,
            operators_gate,
            admission,
            peers,
            tokens,
            ports,
        } = self.phase;
        let (stop, stopped) = bounded::<()>(0);
        start_heartbeats(&context, &peers, &stopped)?;
        start_watch(&context, &stopped);
        start_vm_poller(&context, &stopped)?;
        start_cells(&context, &stopped);
        start_tokens(&context, &peers, tokens, &stopped)?;
        start_slowdowns(&context, &peers, &stopped)?;
        let server = PeerServer::new(Arc::clone(&context), peers.listener);
        thread::spawn(move || server.run());
        let maintenance = MaintenanceLoop::new(Arc::clone(&context), admission);
        thread::spawn(move || maintenance.run(&stopped));
        context.phase.set(MemberState::Serving);
        info!(step = "serve", peer = "own process", ?addresses, "serving");
        Ok(DaemonLifecycle {
            phase: ServingPhase {
                context,
                addresses,
                gate,
                operators_gate,
                ports,
                stop,
            },
        })
    }
}

impl DaemonLifecycle<ServingPhase> {
    /// The addresses of the daemon's ports as bound.
    #[must_use]
    pub const fn addresses(&self) -> DaemonAddresses {
        self.phase.addresses
    }

    /// The state that all parts of the daemon share.
    #[must_use]
    pub const fn context(&self) -> &Arc<DaemonContext> {
        &self.phase.context
    }

    /// Begins a planned stop: the daemon reports that it is not ready and releases its
    /// cells, but still answers callers that the balancer has not yet moved to others.
    #[must_use]
    pub fn drain(self) -> DaemonLifecycle<DrainingPhase> {
        let ServingPhase {
            context,
            gate,
            operators_gate,
            ports,
            stop,
            ..
        } = self.phase;
        context.phase.set(MemberState::Draining);
        info!(step = "drain", peer = "own process", "draining");
        DaemonLifecycle {
            phase: DrainingPhase {
                context,
                gate,
                operators_gate,
                ports,
                stop,
            },
        }
    }
}

impl DaemonLifecycle<DrainingPhase> {
    /// Waits until all cells are released and all requests in flight are answered, at
    /// most for `drain_max_ms` of the settings, then hands over the daemon's tokens, removes
    /// its registration, answers what still arrives and stops its threads. Returns whether
    /// all cells were released and all requests answered in time.
    #[must_use]
    pub fn finish(self) -> bool {
        let DrainingPhase {
            context,
            gate,
            operators_gate,
            ports,
            stop,
        } = self.phase;
        let limit_ms = context.settings.limits.drain_max_ms;
        let drain_started = context.clock.now();
        thread::sleep(UNREADY_SERVING_TIME);
        let callers_stop = PlannedStop::begin(gate);
        let elapsed_ms = || context.clock.now().millis_since(drain_started);
        while !context.cells.load().is_empty() && elapsed_ms() < limit_ms {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let callers_stop = callers_stop.refuse();
        let remaining = Duration::from_millis(limit_ms.saturating_sub(elapsed_ms()));
        let emptied = callers_stop.wait_answered(remaining);
        hand_over_tokens(&context);
        remove_registration(&context);
        let operators_stop = PlannedStop::begin(operators_gate).refuse();
        let operators = operators_stop.finish(QUIET_TIMEOUT, LAST_ANSWERS_TIMEOUT);
        let callers = callers_stop.finish(QUIET_TIMEOUT, LAST_ANSWERS_TIMEOUT);
        let released = context.cells.load().is_empty();
        info!(
            step = "drain",
            peer = "own process",
            emptied,
            released,
            ?callers,
            ?operators,
            "ended"
        );
        drop(stop);
        drop(ports);
        emptied && released && callers.is_complete() && operators.is_complete()
    }
}
