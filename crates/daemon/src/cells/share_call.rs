//! A call to a lender of quotas.

use crossbeam::channel::Sender;

use crate::cells::KeeperEvent;
use sapphirestile_cells::ShareOrder;

/// A call to a lender of quotas.
#[derive(Debug)]
pub struct ShareCall {
    /// Whom to tell what.
    pub order: ShareOrder,
    /// Where the answer goes.
    pub events: Sender<KeeperEvent>,
}
