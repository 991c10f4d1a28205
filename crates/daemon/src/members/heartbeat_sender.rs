//! Sends heartbeats.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use tracing::debug;

use crate::context::DaemonContext;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::PeerHeartbeat;

/// Sends a heartbeat to every member, several times a second.
pub struct HeartbeatSender {
    context: Arc<DaemonContext>,
    socket: UdpSocket,
    sent: AtomicU64,
}

impl HeartbeatSender {
    /// A sender through `socket`.
    #[must_use]
    pub const fn new(context: Arc<DaemonContext>, socket: UdpSocket) -> Self {
        Self {
            context,
            socket,
            sent: AtomicU64::new(0),
        }
    }

    /// Sends until `stop` is closed.
    pub fn run(&self, stop: &Receiver<()>) {
        let interval = Duration::from_millis(self.context.settings.limits.heartbeat_ms);
        loop {
            self.send_round();
            if stop.recv_timeout(interval) != Err(RecvTimeoutError::Timeout) {
                return;
            }
        }
    }

    fn send_round(&self) {
        let call = self.sent.fetch_add(1, Ordering::Relaxed) + 1;
        let frame = PeerFrame {
            sender: self.context.identity.daemon.clone(),
            incarnation: self.context.identity.incarnation,
            call,
            body: PeerDatagram::Heartbeat(self.heartbeat()),
        };
        let Ok(sealed) = self.context.frame_key.seal(&frame) else {
            return;
        };
        for address in self.targets() {
            if let Err(error) = self.socket.send_to(&sealed, address) {
                debug!(step = "send heartbeat", peer = %address, %error, "not sent");
            }
        }
    }

    fn heartbeat(&self) -> PeerHeartbeat {
        let context = &self.context;
        PeerHeartbeat {
            address: context.settings.node.peers,
            state: context.phase.get(),
            revision: context.document.load().revision(),
            store_silent_ms: context.store_contact.silent_ms(context.clock.now()),
            cells: context.keepers.load().owned(),
        }
    }

    fn targets(&self) -> Vec<SocketAddr> {
        let own = self.context.identity.daemon.as_str();
        let members = self.context.members.load();
        let others = members.rows().filter(|(daemon, _)| daemon.as_str() != own);
        let mut targets: Vec<SocketAddr> = others.map(|(_, row)| row.address).collect();
        targets.extend(self.context.settings.peering.seeds.iter().copied());
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|address| *address != self.context.settings.node.peers);
        targets
    }
}
