//! Receives datagrams of peers.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::TryRecvError;
use tracing::debug;
use tracing::error;

use crate::cells::KeeperEvent;
use crate::context::DaemonContext;
use crate::tokens::TokenEvent;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::PeerHeartbeat;
use sapphirestile_wire::peer::SlowdownReport;

const DATAGRAM_BYTES_MAX: usize = 64 * 1_024;
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Takes datagrams of peers: heartbeats go into the table of members, what
/// concerns tokens to the thread that owns them.
pub struct DatagramReceiver {
    context: Arc<DaemonContext>,
    socket: UdpSocket,
}

impl DatagramReceiver {
    /// A receiver on `socket`.
    ///
    /// # Errors
    ///
    /// When the socket takes no time-out.
    pub fn new(context: Arc<DaemonContext>, socket: UdpSocket) -> std::io::Result<Self> {
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        Ok(Self { context, socket })
    }

    /// Receives until `stop` is closed.
    pub fn run(&self, stop: &Receiver<()>) {
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        while stop.try_recv() != Err(TryRecvError::Disconnected) {
            if let Ok((length, peer)) = self.socket.recv_from(&mut buffer) {
                self.receive(&buffer[..length], peer);
            }
        }
    }

    fn receive(&self, sealed: &[u8], peer: SocketAddr) {
        match self.context.frame_key.open::<PeerDatagram>(sealed) {
            Ok(frame) => self.take(frame),
            Err(fault) => debug!(step = "receive datagram", %peer, %fault, "dropped"),
        }
    }

    fn take(&self, frame: PeerFrame<PeerDatagram>) {
        let PeerFrame {
            sender,
            incarnation,
            call,
            body,
        } = frame;
        let peer = DaemonIdentity {
            daemon: sender,
            incarnation,
        };
        if peer.daemon == self.context.identity.daemon {
            self.check_replaced(&peer);
            return;
        }
        // The thread that owns the tokens ends with the process.
        let events = &self.context.token_events;
        match body {
            PeerDatagram::Heartbeat(body) => self.note(&peer, call, &body),
            PeerDatagram::Handover(message) if message.from == peer => {
                let _taken = events.send(TokenEvent::Handover(message));
            }
            PeerDatagram::Handover(_) => {}
            PeerDatagram::Tokens(report) => {
                let _taken = events.send(TokenEvent::Reported(peer, report));
            }
            PeerDatagram::Slowdowns(report) => self.tell_keeper(peer, call, report),
        }
    }

    fn note(&self, peer: &DaemonIdentity, call: u64, heartbeat: &PeerHeartbeat) {
        let now = self.context.clock.now();
        self.context.members.update(|table| {
            let mut table = table.clone();
            table.note_heartbeat(peer, call, heartbeat, now);
            table
        });
    }

    /// A daemon that does not own the cell any more drops what comes late.
    fn tell_keeper(&self, daemon: DaemonIdentity, call: u64, report: SlowdownReport) {
        let SlowdownReport { cell, mut rows } = report;
        rows.truncate(SlowdownReport::ROWS_MAX);
        if let Some(handle) = self.context.keepers.load().keeper(cell) {
            let received = self.context.clock.now();
            let _taken = handle.events.send(KeeperEvent::Slowed {
                daemon,
                call,
                received,
                rows,
            });
        }
    }

    fn check_replaced(&self, peer: &DaemonIdentity) {
        if peer.incarnation > self.context.identity.incarnation {
            error!(step = "receive datagram", %peer, "replaced by a later incarnation");
            std::process::exit(1);
        }
    }
}
