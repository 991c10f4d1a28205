//! A request to open or renew the session between a cell's owner and a worker.

use serde::Deserialize;
use serde::Serialize;

use crate::worker::KnownReport;
use crate::worker::TaskSettled;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;

/// Opens or renews a session, and thereby renews the leases of the cell's tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRequest {
    /// The cell that the worker belongs to.
    pub cell: CellNumber,
    /// The epoch of the owner's claim, which serves as the fencing token.
    pub epoch: CellEpoch,
    /// How long tasks may run without another renewal, in milliseconds.
    pub lease_ms: u64,
    /// Ended attempts whose result the owner has recorded; the worker may forget them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub settled: Vec<TaskSettled>,
    /// The report that the response may be relative to; without it, the worker reports all
    /// attempts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known: Option<KnownReport>,
}

impl SessionRequest {
    /// Converts a decision of the owner of `cell` to a request that renews leases for
    /// `lease_ms`.
    #[must_use]
    pub fn of(cell: CellNumber, renewal: &SessionRenewal, lease_ms: u64) -> Self {
        let settled = renewal.settled.iter().map(|(task, attempt)| TaskSettled {
            task: task.clone(),
            attempt: *attempt,
        });
        Self {
            cell,
            epoch: renewal.epoch,
            lease_ms,
            settled: settled.collect(),
            known: renewal.known.map(Into::into),
        }
    }
}
