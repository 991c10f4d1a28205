//! Start of the daemon's threads. Each runs until `stopped` is closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use error_stack::Report;
use error_stack::ResultExt;
use tracing::warn;

use crate::cells::CellDirector;
use crate::cells::KeeperPools;
use crate::colocation::SlowdownObserver;
use crate::colocation::SlowdownSender;
use crate::context::DaemonContext;
use crate::lifecycle::PeerSockets;
use crate::members::DatagramReceiver;
use crate::members::HeartbeatSender;
use crate::members::SharedWatch;
use crate::routes::RoutePublisher;
use crate::tokens::TokenEvent;
use crate::tokens::TokenKeeper;
use crate::vms::VmPoller;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::vms::VmClient;
use sapphirestile_core::StepError;

/// The timeout of one poll of the platform's list of VMs.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) fn start_heartbeats(
    context: &Arc<DaemonContext>,
    peers: &PeerSockets,
    stopped: &Receiver<()>,
) -> Result<(), Report<StepError>> {
    let socket = peers.clone_datagrams()?;
    let sender = HeartbeatSender::new(Arc::clone(context), socket);
    let socket = peers.clone_datagrams()?;
    let receiver =
        DatagramReceiver::new(Arc::clone(context), socket).change_context_lazy(|| {
            StepError::new("set read timeout of datagram socket", "own port")
        })?;
    let stop = stopped.clone();
    thread::spawn(move || sender.run(&stop));
    let stop = stopped.clone();
    thread::spawn(move || receiver.run(&stop));
    Ok(())
}

/// Reads the shared rows once before the daemon serves, then watches them.
pub(super) fn start_watch(context: &Arc<DaemonContext>, stopped: &Receiver<()>) {
    let watch = SharedWatch::new(Arc::clone(context));
    if let Err(error) = watch.read() {
        warn!(
            step = "read shared rows",
            peer = "store",
            ?error,
            "the shared rows could not be read; the watch tries again"
        );
    }
    let stop = stopped.clone();
    thread::spawn(move || watch.run(&stop));
}

/// Polls the list of VMs and publishes the routing table once before the daemon serves,
/// then repeats both.
pub(super) fn start_vm_poller(
    context: &Arc<DaemonContext>,
    stopped: &Receiver<()>,
) -> Result<(), Report<StepError>> {
    let peer = peer_address(context.settings.platform.vms, "find VM list")?;
    let client = VmClient::new(peer, VM_LIST_TIMEOUT);
    let mut poller = VmPoller::new(Arc::clone(context), client);
    let mut publisher = RoutePublisher::new(Arc::clone(context));
    poller.poll();
    publisher.publish();
    let stop = stopped.clone();
    thread::spawn(move || poller.run(&mut publisher, &stop));
    Ok(())
}

pub(super) fn start_cells(context: &Arc<DaemonContext>, stopped: &Receiver<()>) {
    let pools = KeeperPools::start(context);
    let mut director = CellDirector::new(Arc::clone(context), pools);
    let stop = stopped.clone();
    thread::spawn(move || director.run(&stop));
}

pub(super) fn start_tokens(
    context: &Arc<DaemonContext>,
    peers: &PeerSockets,
    events: Receiver<TokenEvent>,
    stopped: &Receiver<()>,
) -> Result<(), Report<StepError>> {
    let socket = peers.clone_datagrams()?;
    let keeper = TokenKeeper::new(Arc::clone(context), socket);
    let stop = stopped.clone();
    thread::spawn(move || keeper.run(&events, &stop));
    Ok(())
}

pub(super) fn start_slowdowns(
    context: &Arc<DaemonContext>,
    peers: &PeerSockets,
    stopped: &Receiver<()>,
) -> Result<(), Report<StepError>> {
    let socket = peers.clone_datagrams()?;
    let sender = SlowdownSender::new(Arc::clone(context), socket);
    let mut observer = SlowdownObserver::new(Arc::clone(context), sender);
    let stop = stopped.clone();
    thread::spawn(move || observer.run(&stop));
    Ok(())
}

pub(super) fn peer_address(
    address: SocketAddr,
    step: &'static str,
) -> Result<PeerAddress, Report<StepError>> {
    PeerAddress::try_from(address)
        .change_context_lazy(|| StepError::new(step, &address.to_string()))
}
