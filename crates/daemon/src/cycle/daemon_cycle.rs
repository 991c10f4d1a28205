//! A daemon, in each phase of its life.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::bounded;
use error_stack::Report;
use error_stack::ResultExt;
use tracing::info;
use tracing::warn;

use crate::callers::CallerService;
use crate::callers::ParkingLot;
use crate::cells::CellDirector;
use crate::cells::WorkerPool;
use crate::context::DaemonContext;
use crate::context::MonoClock;
use crate::context::PhaseGauge;
use crate::context::StorePulse;
use crate::context::SwapHolder;
use crate::cycle::DaemonAddresses;
use crate::cycle::DrainingPhase;
use crate::cycle::HouseKeeper;
use crate::cycle::PeerPorts;
use crate::cycle::ServingPhase;
use crate::cycle::StartingPhase;
use crate::members::HeartbeatReceiver;
use crate::members::HeartbeatSender;
use crate::members::MemberRecord;
use crate::members::MemberRegistration;
use crate::members::SharedWatch;
use crate::metrics::DaemonMetrics;
use crate::operators::OperatorService;
use crate::peers::PeerServer;
use crate::routes::RoutePublisher;
use crate::serving::HttpPort;
use crate::serving::HttpService;
use crate::serving::RequestGate;
use crate::settings::DaemonSettings;
use crate::vms::VmPoller;
use sapphirestile_cells::OwnerMark;
use sapphirestile_core::StepError;
use sapphirestile_platform::http::PeerAddress;
use sapphirestile_platform::store::EtcdClient;
use sapphirestile_platform::store::StoreClient;
use sapphirestile_platform::vms::VmClient;
use sapphirestile_routing::TableCell;
use sapphirestile_wire::peer::FrameKey;
use sapphirestile_wire::peer::MemberState;

const VM_LIST_TIMEOUT: Duration = Duration::from_secs(2);
const CALLER_CONNECTIONS: usize = 1_024;
const OPERATOR_CONNECTIONS: usize = 64;
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
        let mark = register(store.as_ref(), &settings);
        info!(step = "register daemon", daemon = %mark, "registered");
        let context = Arc::new(new_context(settings, mark, store));
        let gate = Arc::new(RequestGate::default());
        let lot = Arc::new(ParkingLot::default());
        let callers = open_callers(&context, &gate, &lot)?;
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
                lot,
                peers,
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
            lot,
            peers,
            ports,
        } = self.phase;
        let (stop, stopped) = bounded::<()>(0);
        start_heartbeats(&context, &peers, &stopped)?;
        start_watch(&context, &stopped);
        start_vm_poller(&context, &stopped)?;
        start_cells(&context, &stopped);
        let server = PeerServer::new(Arc::clone(&context), peers.calls);
        thread::spawn(move || server.run());
        let keeper = HouseKeeper::new(Arc::clone(&context), lot);
        thread::spawn(move || keeper.run(&stopped));
        context.phase.set(MemberState::Serving);
        info!(step = "serve", ?addresses, "serving");
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
        info!(step = "drain", "draining");
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
        let emptied = gate.wait_empty(rest);
        let released = context.keepers.load().is_empty();
        info!(step = "drain", emptied, released, "ended");
        drop(stop);
        drop(ports);
        emptied && released
    }
}

fn new_context(
    settings: DaemonSettings,
    mark: OwnerMark,
    store: Arc<dyn StoreClient>,
) -> DaemonContext {
    let key = FrameKey::new(settings.peering.key.as_bytes());
    DaemonContext {
        settings,
        mark,
        clock: MonoClock::start(),
        store,
        pulse: StorePulse::default(),
        key,
        phase: PhaseGauge::default(),
        document: SwapHolder::default(),
        members: SwapHolder::default(),
        vms: SwapHolder::default(),
        keepers: SwapHolder::default(),
        metrics: DaemonMetrics::default(),
        routes: TableCell::default(),
    }
}

fn open_store(settings: &DaemonSettings) -> Result<Arc<dyn StoreClient>, Report<StepError>> {
    let peer = target(settings.platform.store, "find store")?;
    let timeout = Duration::from_millis(settings.limits.store_timeout_ms);
    Ok(Arc::new(EtcdClient::new(peer, timeout)))
}

fn register(store: &dyn StoreClient, settings: &DaemonSettings) -> OwnerMark {
    let daemon = settings.node.name.clone();
    let record = MemberRecord {
        zone: settings.node.zone.clone(),
        address: settings.node.peers,
        nonce: rand::random(),
    };
    let incarnation = MemberRegistration::new(store, daemon.as_str()).register(&record);
    OwnerMark {
        daemon,
        incarnation,
    }
}

fn open_callers(
    context: &Arc<DaemonContext>,
    gate: &Arc<RequestGate>,
    lot: &Arc<ParkingLot>,
) -> Result<HttpPort, Report<StepError>> {
    let service = CallerService::new(Arc::clone(context), Arc::clone(lot));
    let service: Arc<dyn HttpService> = Arc::new(service);
    HttpPort::open(
        context.settings.node.callers,
        CALLER_CONNECTIONS,
        &service,
        gate,
    )
}

/// The operators' port stays open while the daemon drains.
fn open_operators(context: &Arc<DaemonContext>) -> Result<HttpPort, Report<StepError>> {
    let service: Arc<dyn HttpService> = Arc::new(OperatorService::new(Arc::clone(context)));
    let gate = Arc::new(RequestGate::default());
    HttpPort::open(
        context.settings.node.operators,
        OPERATOR_CONNECTIONS,
        &service,
        &gate,
    )
}

fn start_heartbeats(
    context: &Arc<DaemonContext>,
    peers: &PeerPorts,
    stopped: &Receiver<()>,
) -> Result<(), Report<StepError>> {
    let failed = || StepError::new("share heartbeat socket", "own port");
    let socket = peers.heartbeats.try_clone().change_context_lazy(failed)?;
    let sender = HeartbeatSender::new(Arc::clone(context), socket);
    let socket = peers.heartbeats.try_clone().change_context_lazy(failed)?;
    let receiver =
        HeartbeatReceiver::new(Arc::clone(context), socket).change_context_lazy(failed)?;
    let stop = stopped.clone();
    thread::spawn(move || sender.run(&stop));
    let stop = stopped.clone();
    thread::spawn(move || receiver.run(&stop));
    Ok(())
}

fn start_watch(context: &Arc<DaemonContext>, stopped: &Receiver<()>) {
    let watch = SharedWatch::new(Arc::clone(context));
    if let Err(error) = watch.read() {
        warn!(
            step = "read shared rows",
            peer = "store",
            ?error,
            "the watch tries again"
        );
    }
    let stop = stopped.clone();
    thread::spawn(move || watch.run(&stop));
}

fn start_vm_poller(
    context: &Arc<DaemonContext>,
    stopped: &Receiver<()>,
) -> Result<(), Report<StepError>> {
    let peer = target(context.settings.platform.vms, "find VM list")?;
    let client = VmClient::new(peer, VM_LIST_TIMEOUT);
    let poller = VmPoller::new(Arc::clone(context), client);
    let mut publisher = RoutePublisher::new(Arc::clone(context));
    poller.poll();
    publisher.publish();
    let stop = stopped.clone();
    thread::spawn(move || poller.run(&mut publisher, &stop));
    Ok(())
}

fn start_cells(context: &Arc<DaemonContext>, stopped: &Receiver<()>) {
    let pool = WorkerPool::start(context);
    let director = CellDirector::new(Arc::clone(context), pool);
    let stop = stopped.clone();
    thread::spawn(move || director.run(&stop));
}

fn target(address: SocketAddr, step: &'static str) -> Result<PeerAddress, Report<StepError>> {
    PeerAddress::try_from(address)
        .change_context_lazy(|| StepError::new(step, &address.to_string()))
}
