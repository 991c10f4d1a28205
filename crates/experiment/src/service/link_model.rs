//! The link between the regions.

use crate::service::link_transfer::LinkTransfer;

/// 30 Mbit/s.
pub(crate) const LINK_BYTES_PER_S: f64 = 3_750_000.0;
const IDLE_DELAY_MS: f64 = 8.0;
const QUEUE_DELAY_MS: f64 = 3.0;
const BUSY_MAX: f64 = 0.985;

/// The link: bulk transfers share what requests leave.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkModel {
    transfers: Vec<LinkTransfer>,
    busy: f64,
    /// Bytes that crossed the link.
    pub(crate) bytes: f64,
}

impl LinkModel {
    /// Begins a transfer for `task`.
    pub(crate) fn add(&mut self, task: usize, bytes: f64) {
        self.transfers.push(LinkTransfer {
            task,
            bytes_left: bytes,
        });
    }

    /// Ends the transfers of `task`.
    pub(crate) fn remove(&mut self, task: usize) {
        self.transfers.retain(|transfer| transfer.task != task);
    }

    /// A second of transfers; answers with the tasks whose transfer is whole.
    pub(crate) fn step(&mut self, request_bytes: f64) -> Vec<usize> {
        let mut room = (LINK_BYTES_PER_S - request_bytes).max(LINK_BYTES_PER_S * 0.05);
        let room_before = room;
        self.transfers
            .sort_by(|one, other| one.bytes_left.total_cmp(&other.bytes_left));
        let mut left = self.transfers.len();
        for transfer in &mut self.transfers {
            let part = room / count_to_f64(left);
            let sent = part.min(transfer.bytes_left);
            transfer.bytes_left -= sent;
            room -= sent;
            left -= 1;
        }
        let sent = room_before - room + request_bytes;
        self.bytes += sent;
        self.busy = (sent / LINK_BYTES_PER_S).min(BUSY_MAX);
        let whole = |transfer: &LinkTransfer| transfer.bytes_left <= 0.0;
        let done = self.transfers.iter().filter(|transfer| whole(transfer));
        let done = done.map(|transfer| transfer.task).collect();
        self.transfers.retain(|transfer| !whole(transfer));
        done
    }

    /// How long a small message takes to cross, in milliseconds.
    pub(crate) fn delay_ms(&self) -> f64 {
        IDLE_DELAY_MS + QUEUE_DELAY_MS * self.busy / (1.0 - self.busy)
    }
}

fn count_to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
