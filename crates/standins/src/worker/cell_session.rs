//! The session of one cell with a worker.

use sapphirestile_core::CellEpoch;
use sapphirestile_core::MonoTime;

/// The session of one cell with a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct CellSession {
    pub(super) epoch: CellEpoch,
    /// The first permit of the epoch.
    pub(super) opened: u64,
    pub(super) permit: u64,
    pub(super) permitted: MonoTime,
    pub(super) lease_until: MonoTime,
}
