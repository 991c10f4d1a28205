//! Receives heartbeats.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::TryRecvError;
use tracing::debug;
use tracing::error;

use crate::context::DaemonContext;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::PeerHeartbeat;

const HEARTBEAT_BYTES_MAX: usize = 16 * 1_024;
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Takes note of the members' heartbeats.
pub struct HeartbeatReceiver {
    context: Arc<DaemonContext>,
    socket: UdpSocket,
}

impl HeartbeatReceiver {
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
        let mut buffer = vec![0; HEARTBEAT_BYTES_MAX];
        while stop.try_recv() != Err(TryRecvError::Disconnected) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.receive(&buffer[..length]);
            }
        }
    }

    fn receive(&self, sealed: &[u8]) {
        match self.context.key.open::<PeerHeartbeat>(sealed) {
            Ok(frame) => self.note(&frame),
            Err(fault) => debug!(step = "receive heartbeat", %fault, "dropped"),
        }
    }

    fn note(&self, frame: &PeerFrame<PeerHeartbeat>) {
        let mark = &self.context.mark;
        if frame.sender == mark.daemon {
            if frame.incarnation > mark.incarnation {
                error!(
                    step = "receive heartbeat",
                    "replaced by a later incarnation"
                );
                std::process::exit(1);
            }
            return;
        }
        let now = self.context.clock.now();
        self.context.members.update(|table| {
            let mut table = table.clone();
            table.note_heartbeat(frame, now);
            table
        });
    }
}
