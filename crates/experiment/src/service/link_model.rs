//! Bandwidth and delay of the link between the regions.

use crate::service::link_transfer::LinkTransfer;

/// The bandwidth of the link: 30 Mbit/s.
pub(crate) const LINK_BYTES_PER_S: f64 = 3_750_000.0;
const IDLE_DELAY_MS: f64 = 8.0;
const QUEUE_DELAY_MS: f64 = 3.0;
const UTILIZATION_MAX: f64 = 0.985;

/// The link between the regions. Transfers share the bandwidth that requests leave.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkModel {
    transfers: Vec<LinkTransfer>,
    utilization: f64,
    /// Bytes of requests and transfers sent since the start of the run.
    pub(crate) total_bytes: f64,
}

impl LinkModel {
    /// Starts a transfer of `bytes` for `task`.
    pub(crate) fn start_transfer(&mut self, task: usize, bytes: f64) {
        self.transfers.push(LinkTransfer {
            task,
            remaining_bytes: bytes,
        });
    }

    /// Cancels all transfers of `task`.
    pub(crate) fn cancel_transfer(&mut self, task: usize) {
        self.transfers.retain(|transfer| transfer.task != task);
    }

    /// Advances all transfers by one second and returns the tasks whose transfer is
    /// complete.
    ///
    /// `request_bytes` is what requests sent in that second. Transfers get at least
    /// 5 % of the link and share it evenly; what small ones do not need goes to
    /// larger ones.
    pub(crate) fn step(&mut self, request_bytes: f64) -> Vec<usize> {
        let mut available = (LINK_BYTES_PER_S - request_bytes).max(LINK_BYTES_PER_S * 0.05);
        let available_before = available;
        self.transfers
            .sort_by(|one, other| one.remaining_bytes.total_cmp(&other.remaining_bytes));
        let mut transfers_left = self.transfers.len();
        for transfer in &mut self.transfers {
            let fair_share = available / count_to_f64(transfers_left);
            let sent = fair_share.min(transfer.remaining_bytes);
            transfer.remaining_bytes -= sent;
            available -= sent;
            transfers_left -= 1;
        }
        let sent = available_before - available + request_bytes;
        self.total_bytes += sent;
        self.utilization = (sent / LINK_BYTES_PER_S).min(UTILIZATION_MAX);
        let is_complete = |transfer: &LinkTransfer| transfer.remaining_bytes <= 0.0;
        let completed = self
            .transfers
            .iter()
            .filter(|transfer| is_complete(transfer));
        let completed = completed.map(|transfer| transfer.task).collect();
        self.transfers.retain(|transfer| !is_complete(transfer));
        completed
    }

    /// The one-way delay of a small message, in milliseconds; it grows with the
    /// utilization in the last second.
    pub(crate) fn delay_ms(&self) -> f64 {
        IDLE_DELAY_MS + QUEUE_DELAY_MS * self.utilization / (1.0 - self.utilization)
    }
}

fn count_to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
