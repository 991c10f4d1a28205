//! The session of one cell's owner with a worker.

use sapphirestile_core::CellEpoch;
use sapphirestile_core::MonoTime;

/// The session of one cell's owner with a worker. There is one for each cell: a later epoch
/// replaces the session of an earlier one.
#[derive(Clone, Copy, Debug)]
pub(super) struct CellSession {
    /// The epoch of the session, the highest that has opened one for the cell.
    pub(super) epoch: CellEpoch,
    /// The first permit of the epoch; reports with an earlier permit belong to another epoch.
    pub(super) first_permit: u64,
    /// The only valid permit, issued by the latest renewal.
    pub(super) permit: u64,
    /// When the permit was issued, on the worker's clock.
    pub(super) permit_issued: MonoTime,
    /// When the lease of the cell's tasks expires unless it is renewed.
    pub(super) lease_until: MonoTime,
}
