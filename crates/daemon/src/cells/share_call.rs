//! A call to a lender of quotas.

use crossbeam::channel::Sender;

use crate::cells::KeeperEvent;
use sapphirestile_cells::LenderReport;

/// A call to a lender of quotas.
#[derive(Debug)]
pub struct ShareCall {
    /// Whom to tell what.
    pub order: LenderReport,
    /// Where the answer goes.
    pub events: Sender<KeeperEvent>,
}
