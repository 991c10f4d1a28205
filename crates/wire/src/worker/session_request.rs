//! Opens or renews the session of a cell's owner with a worker.

use serde::Deserialize;
use serde::Serialize;

use crate::worker::KnownReport;
use crate::worker::TaskSettled;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;

/// Opens or renews a session, and with it the leases of the cell's tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRequest {
    /// The cell that the worker belongs to.
    pub cell: CellNumber,
    /// The fencing token of the owner's claim.
    pub epoch: CellEpoch,
    /// How long the tasks may run without another renewal, in milliseconds.
    pub lease_ms: u64,
    /// Ended tasks whose reports the owner has recorded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub settled: Vec<TaskSettled>,
    /// The report that the owner has whole; without it the worker reports all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known: Option<KnownReport>,
}

impl SessionRequest {
    /// The body of `order`, by the owner of `cell`, with leases of `lease_ms`.
    #[must_use]
    pub fn of(cell: CellNumber, order: &SessionRenewal, lease_ms: u64) -> Self {
        let settled = order.settled.iter().map(|(task, attempt)| TaskSettled {
            task: task.clone(),
            attempt: *attempt,
        });
        Self {
            cell,
            epoch: order.epoch,
            lease_ms,
            settled: settled.collect(),
            known: order.known.map(Into::into),
        }
    }
}
