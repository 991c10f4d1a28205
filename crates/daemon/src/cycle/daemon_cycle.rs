//! A daemon, in each phase of its life.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::bounded;
use crossbeam::channel::unbounded;
use error_stack::Report;
use tracing::info;

use crate::callers::AdmissionState;
use crate::context::DaemonContext;
use crate::cycle::DaemonAddresses;
use crate::cycle::DrainingPhase;
use crate::cycle::HouseKeeper;
use crate::cycle::PeerPorts;
use crate::cycle::ServingPhase;
use crate::cycle::StartingPhase;
use crate::cycle::daemon_threads::start_cells;
use crate::cycle::daemon_threads::start_heartbeats;
use crate::cycle::daemon_threads::start_slowdowns;
use crate::cycle::daemon_threads::start_tokens;
use crate::cycle::daemon_threads::start_vm_poller;
use crate::cycle::daemon_threads::start_watch;
use crate::cycle::drain_steps::hand_tokens_over;
use crate::cycle::drain_steps::take_registration_back;
use crate::cycle::http_ports::open_callers;
use crate::cycle::http_ports::open_operators;
use crate::cycle::start_steps::new_context;
use crate::cycle::start_steps::open_store;
use crate::cycle::start_steps::register;
use crate::peers::PeerServer;
use crate::serving::RequestGate;
use crate::settings::DaemonSettings;
use sapphirestile_core::StepError;
use sapphirestile_wire::peer::MemberState;

const DRAIN_TICK: Duration = Duration::from_millis(50);
const UNREADY_LINGER: Duration = Duration::from_millis(1_500);

/// A daemon in one phase of its life.
pub struct DaemonCycle<Phase> {
    phase: Phase,
}

impl DaemonCycle<StartingPhase> {
    /// Binds the ports, registers in the store and reads what it holds. Waits for
    /// the store for as long as it is away.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound, or an address of the settings is no target.
    pub fn start(mut settings: DaemonSettings) -> Result<Self, Report<StepError>> {
        let peers = PeerPorts::bind(settings.node.peers)?;
        settings.node.peers = peers.address;
        let store = open_store(&settings)?;
        let identity = register(store.as_ref(), &settings);
        info!(step = "register daemon", peer = "store", daemon = %identity, "registered");
        let (token_events, tokens) = unbounded();
        let context = Arc::new(new_context(settings, identity, store, token_events));
        let gate = Arc::new(RequestGate::default());
        let desk = Arc::new(AdmissionState::default());
        let callers = open_callers(&context, &gate, &desk)?;
        let operators = open_operators(&context)?;
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
                desk,
                peers,
                tokens,
                ports,
            },
        })
    }

    /// Starts the daemon's threads and serves.
    ///
    /// # Errors
    ///
    /// When a socket cannot be shared among threads, or an address of the
    /// settings is no target.
    pub fn serve(self) -> Result<DaemonCycle<ServingPhase>, Report<StepError>> {
        let StartingPhase {
            context,
            addresses,
            gate,
            desk,
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
        let server = PeerServer::new(Arc::clone(&context), peers.calls);
        thread::spawn(move || server.run());
        let keeper = HouseKeeper::new(Arc::clone(&context), desk);
        thread::spawn(move || keeper.run(&stopped));
        context.phase.set(MemberState::Serving);
        info!(step = "serve", peer = "own process", ?addresses, "serving");
        Ok(DaemonCycle {
            phase: ServingPhase {
                context,
                addresses,
                gate,
                ports,
                stop,
            },
        })
    }
}

impl DaemonCycle<ServingPhase> {
    /// Where the daemon is reached.
    #[must_use]
    pub const fn addresses(&self) -> DaemonAddresses {
        self.phase.addresses
    }

    /// What the daemon's operations share.
    #[must_use]
    pub const fn context(&self) -> &Arc<DaemonContext> {
        &self.phase.context
    }

    /// Begins a planned stop: the daemon turns unready and gives its cells up,
    /// while it still answers callers that the balancer has not yet moved.
    #[must_use]
    pub fn drain(self) -> DaemonCycle<DrainingPhase> {
        let ServingPhase {
            context,
            gate,
            ports,
            stop,
            ..
        } = self.phase;
        context.phase.set(MemberState::Draining);
        info!(step = "drain", peer = "own process", "draining");
        DaemonCycle {
            phase: DrainingPhase {
                context,
                gate,
                ports,
                stop,
            },
        }
    }
}

impl DaemonCycle<DrainingPhase> {
    /// Waits for the last cell and the last answer, then ends. Returns whether
    /// both came within the limit.
    #[must_use]
    pub fn finish(self) -> bool {
        let DrainingPhase {
            context,
            gate,
            ports,
            stop,
        } = self.phase;
        let limit_ms = context.settings.limits.drain_max_ms;
        let began = context.clock.now();
        thread::sleep(UNREADY_LINGER);
        let spent = || context.clock.now().millis_since(began);
        while !context.keepers.load().is_empty() && spent() < limit_ms {
            thread::sleep(DRAIN_TICK);
        }
        gate.close();
        let rest = Duration::from_millis(limit_ms.saturating_sub(spent()));
        let emptied = gate.wait_idle(rest);
        hand_tokens_over(&context);
        take_registration_back(&context);
        let released = context.keepers.load().is_empty();
        info!(
            step = "drain",
            peer = "own process",
            emptied,
            released,
            "ended"
        );
        drop(stop);
        drop(ports);
        emptied && released
    }
}
