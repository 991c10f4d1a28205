//! A share report to a lender of quotas.

use crossbeam::channel::Sender;

use crate::cells::CellEvent;
use sapphirestile_cells::LenderReport;

/// A share report to send to a lender of quotas, for the [`crate::cells::SharePool`].
#[derive(Debug)]
pub struct ShareCall {
    /// The cell that lends, and the report for it.
    pub lender_report: LenderReport,
    /// Receives the answer as [`CellEvent::SharesLent`] or [`CellEvent::SharesLost`].
    pub events: Sender<CellEvent>,
}
