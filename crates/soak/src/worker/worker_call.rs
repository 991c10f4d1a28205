//! A call to a worker.

use crate::DaemonInstance;
use sapphirestile_cells::CellEffect;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// A call from a daemon to a worker that is in flight.
#[derive(Clone, Debug)]
pub struct WorkerCall {
    /// The calling daemon process.
    pub from: DaemonInstance,
    /// Cell whose owner makes the call.
    pub cell: CellNumber,
    /// When the call was sent, on the daemon's clock.
    pub sent_at: MonoTime,
    /// The request, which also names the worker and the epoch.
    pub effect: CellEffect,
}

impl WorkerCall {
    /// The called worker.
    #[must_use]
    pub const fn worker(&self) -> &WorkerName {
        match &self.effect {
            CellEffect::Session(request) => &request.worker,
            CellEffect::Start(request) => &request.worker,
            CellEffect::Stop(request) => &request.worker,
            CellEffect::Throttle(request) => &request.worker,
        }
    }

    /// Epoch of the owner that makes the call.
    #[must_use]
    pub const fn epoch(&self) -> CellEpoch {
        match &self.effect {
            CellEffect::Session(request) => request.epoch,
            CellEffect::Start(request) => request.epoch,
            CellEffect::Stop(request) => request.epoch,
            CellEffect::Throttle(request) => request.epoch,
        }
    }
}
