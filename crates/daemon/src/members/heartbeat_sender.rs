//! Sends the heartbeats of this daemon.

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

/// Sends heartbeats to all known members and to the configured seed addresses.
pub struct HeartbeatSender {
    context: Arc<DaemonContext>,
    socket: UdpSocket,
    /// Number of heartbeats sent so far; numbers the next one.
    sent: AtomicU64,
}

impl HeartbeatSender {
    /// Creates a sender that sends through `socket`.
    #[must_use]
    pub const fn new(context: Arc<DaemonContext>, socket: UdpSocket) -> Self {
        Self {
            context,
            socket,
            sent: AtomicU64::new(0),
        }
    }

    /// Sends a heartbeat every `heartbeat_ms` of the settings until `stop` is closed. Blocks
    /// the calling thread.
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
        for address in self.addresses() {
            if let Err(error) = self.socket.send_to(&sealed, address) {
                debug!(step = "send heartbeat", peer = %address, %error, "heartbeat not sent");
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
            cells: context.cells.load().owned(),
        }
    }

    /// The addresses of the other members and the seeds, without this daemon's own.
    fn addresses(&self) -> Vec<SocketAddr> {
        let own = self.context.identity.daemon.as_str();
        let members = self.context.members.load();
        let others = members.rows().filter(|(daemon, _)| daemon.as_str() != own);
        let mut addresses: Vec<SocketAddr> = others.map(|(_, row)| row.address).collect();
        addresses.extend(self.context.settings.peering.seeds.iter().copied());
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.context.settings.node.peers);
        addresses
    }
}
