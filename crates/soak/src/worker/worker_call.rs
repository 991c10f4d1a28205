//! A call on its way to a worker.

use crate::ProcessMark;
use sapphirestile_cells::CellEffect;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// A call on its way to a worker.
#[derive(Clone, Debug)]
pub struct WorkerCall {
    /// Who calls.
    pub from: ProcessMark,
    /// For which cell.
    pub cell: CellNumber,
    /// When the call left, on the caller's clock.
    pub asked: MonoTime,
    /// What is asked.
    pub effect: CellEffect,
}

impl WorkerCall {
    /// The worker that is called.
    #[must_use]
    pub const fn worker(&self) -> &WorkerName {
        match &self.effect {
            CellEffect::Session(order) => &order.worker,
            CellEffect::Start(order) => &order.worker,
            CellEffect::Stop(order) => &order.worker,
            CellEffect::Throttle(order) => &order.worker,
        }
    }

    /// The claim under which the call is made.
    #[must_use]
    pub const fn epoch(&self) -> CellEpoch {
        match &self.effect {
            CellEffect::Session(order) => order.epoch,
            CellEffect::Start(order) => order.epoch,
            CellEffect::Stop(order) => order.epoch,
            CellEffect::Throttle(order) => order.epoch,
        }
    }
}
