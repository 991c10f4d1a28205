//! Sends slowdowns to the owners of cells.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

use tracing::debug;

use crate::cells::CellEvent;
use crate::context::DaemonContext;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::SlowdownReport;
use sapphirestile_wire::peer::WorkerSlowdown;

/// Sends slowdowns to the owner of each worker's cell, in this daemon or at a peer. Lost
/// datagrams are not resent, because the next round sends newer measurements.
pub struct SlowdownSender {
    context: Arc<DaemonContext>,
    socket: UdpSocket,
    /// Number of messages sent so far; numbers the next one.
    sent: u64,
}

impl SlowdownSender {
    /// Creates a sender that sends datagrams through `socket`.
    #[must_use]
    pub const fn new(context: Arc<DaemonContext>, socket: UdpSocket) -> Self {
        Self {
            context,
            socket,
            sent: 0,
        }
    }

    /// Sends each row to the owner of its worker's cell. Does nothing before the first
    /// document, and drops the rows of cells without a known owner.
    pub fn send(&mut self, rows: Vec<WorkerSlowdown>, now: MonoTime) {
        let Some(map) = self.context.cell_map() else {
            return;
        };
        let mut cells: SortedTable<CellNumber, Vec<WorkerSlowdown>> = SortedTable::new();
        for row in rows {
            let cell = map.cell_of_worker(row.worker.as_str());
            cells.get_or_insert_with(cell, Vec::new).push(row);
        }
        for (cell, rows) in cells.iter() {
            self.send_cell(*cell, rows, now);
        }
    }

    fn send_cell(&mut self, cell: CellNumber, rows: &[WorkerSlowdown], now: MonoTime) {
        for part in rows.chunks(SlowdownReport::ROWS_MAX) {
            self.sent += 1;
            let rows = part.to_vec();
            if self.send_local(cell, &rows, now) {
                continue;
            }
            if let Some(address) = self.owner_address(cell, now) {
                self.send_datagram(address, SlowdownReport { cell, rows });
            }
        }
    }

    /// Sends the rows to the actor of `cell` in this daemon; `false` when there is none.
    fn send_local(&self, cell: CellNumber, rows: &[WorkerSlowdown], now: MonoTime) -> bool {
        let cells = self.context.cells.load();
        let Some(handle) = cells.get(cell) else {
            return false;
        };
        let event = CellEvent::Slowed {
            daemon: self.context.identity.clone(),
            call: self.sent,
            received: now,
            rows: rows.to_vec(),
        };
        handle.events.send(event).is_ok()
    }

    fn owner_address(&self, cell: CellNumber, now: MonoTime) -> Option<SocketAddr> {
        let suspect_ms = self.context.settings.limits.suspect_ms;
        let members = self.context.members.load();
        let (daemon, _) = members.owner_of(cell, now, suspect_ms)?;
        members.row(daemon.as_str()).map(|row| row.address)
    }

    fn send_datagram(&self, address: SocketAddr, report: SlowdownReport) {
        let frame = PeerFrame {
            sender: self.context.identity.daemon.clone(),
            incarnation: self.context.identity.incarnation,
            call: self.sent,
            body: PeerDatagram::Slowdowns(report),
        };
        let Ok(sealed) = self.context.frame_key.seal(&frame) else {
            return;
        };
        self.context
            .metrics
            .slowdown_bytes
            .inc_by(sealed.len() as u64);
        if let Err(error) = self.socket.send_to(&sealed, address) {
            debug!(step = "send slowdowns", peer = %address, %error, "slowdowns not sent");
        }
    }
}
