//! Tells slowdowns to the owners of cells.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

use tracing::debug;

use crate::cells::KeeperEvent;
use crate::context::DaemonContext;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::SlowdownReport;
use sapphirestile_wire::peer::WorkerSlowdown;

/// Tells slowdowns to the owner of each worker's cell, here or at a peer. What is
/// lost is not sent again: the next round brings newer ones.
pub struct SlowdownSender {
    context: Arc<DaemonContext>,
    socket: UdpSocket,
    sent: u64,
}

impl SlowdownSender {
    /// A sender through `socket`.
    #[must_use]
    pub const fn new(context: Arc<DaemonContext>, socket: UdpSocket) -> Self {
        Self {
            context,
            socket,
            sent: 0,
        }
    }

    /// Sends each row to the owner of its worker's cell.
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
            if self.tell_keeper(cell, &rows, now) {
                continue;
            }
            if let Some(address) = self.owner_address(cell, now) {
                self.send_datagram(address, SlowdownReport { cell, rows });
            }
        }
    }

    fn tell_keeper(&self, cell: CellNumber, rows: &[WorkerSlowdown], now: MonoTime) -> bool {
        let keepers = self.context.keepers.load();
        let Some(handle) = keepers.keeper(cell) else {
            return false;
        };
        let event = KeeperEvent::Slowed {
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
            debug!(step = "send slowdowns", peer = %address, %error, "not sent");
        }
    }
}
