//! Receives the datagrams of peers.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::TryRecvError;
use tracing::debug;
use tracing::error;

use crate::cells::CellEvent;
use crate::context::DaemonContext;
use crate::tokens::TokenEvent;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::PeerHeartbeat;
use sapphirestile_wire::peer::SlowdownReport;

const DATAGRAM_BYTES_MAX: usize = 64 * 1_024;
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Receives the datagrams of peers. Heartbeats update the table of members, messages about
/// tokens go to the token actor, and slowdowns to the actor of their cell.
pub struct DatagramReceiver {
    context: Arc<DaemonContext>,
    socket: UdpSocket,
}

impl DatagramReceiver {
    /// Creates a receiver on `socket`, whose reads time out so that a stop is noticed.
    ///
    /// # Errors
    ///
    /// When the read time-out cannot be set on the socket.
    pub fn new(context: Arc<DaemonContext>, socket: UdpSocket) -> std::io::Result<Self> {
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        Ok(Self { context, socket })
    }

    /// Receives datagrams until `stop` is closed. Blocks the calling thread.
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
            Ok(frame) => self.dispatch(frame),
            Err(fault) => debug!(step = "receive datagram", %peer, %fault, "dropped"),
        }
    }

    fn dispatch(&self, frame: PeerFrame<PeerDatagram>) {
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
            self.exit_if_replaced(&peer);
            return;
        }
        // Sending cannot fail: the token actor ends only with the process.
        let events = &self.context.token_events;
        match body {
            PeerDatagram::Heartbeat(body) => self.record_heartbeat(&peer, call, &body),
            PeerDatagram::Handover(message) if message.from == peer => {
                let _sent = events.send(TokenEvent::Handover(message));
            }
            // Only the counters of the sender's own handovers are accepted.
            PeerDatagram::Handover(_) => {}
            PeerDatagram::Tokens(report) => {
                let _sent = events.send(TokenEvent::Reported(peer, report));
            }
            PeerDatagram::Slowdowns(report) => self.forward_slowdowns(peer, call, report),
        }
    }

    fn record_heartbeat(&self, peer: &DaemonIdentity, call: u64, heartbeat: &PeerHeartbeat) {
        let now = self.context.clock.now();
        self.context.members.update(|table| {
            let mut table = table.clone();
            table.record_heartbeat(peer, call, heartbeat, now);
            table
        });
    }

    /// Forwards slowdowns to the actor of their cell. A daemon that no longer owns the cell
    /// drops them.
    fn forward_slowdowns(&self, daemon: DaemonIdentity, call: u64, report: SlowdownReport) {
        let SlowdownReport { cell, mut rows } = report;
        rows.truncate(SlowdownReport::ROWS_MAX);
        if let Some(handle) = self.context.cells.load().get(cell) {
            let received = self.context.clock.now();
            let _sent = handle.events.send(CellEvent::Slowed {
                daemon,
                call,
                received,
                rows,
            });
        }
    }

    /// Ends the process when a later incarnation of this daemon is running.
    fn exit_if_replaced(&self, peer: &DaemonIdentity) {
        if peer.incarnation > self.context.identity.incarnation {
            error!(step = "receive datagram", %peer, "replaced by a later incarnation; exiting");
            std::process::exit(1);
        }
    }
}
