//! Shares of quotas as tracked by a cell's owner.

use crate::map::CellMap;
use crate::shares::BorrowerView;
use crate::shares::DemandQueue;
use crate::shares::ShareDemand;
use crate::shares::ShareTotals;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// What an owner knows about shares beyond its journal. Not durable.
#[derive(Debug, Default)]
pub struct ShareTracker {
    /// The cells that lend to each other; `None` when there is only this cell.
    pub map: Option<CellMap>,
    /// Customers with their whole quotas.
    pub customers: SortedTable<CustomerName, CustomerEntry>,
    /// What waiting tasks lack, as of the latest plan.
    pub demands: SortedTable<CustomerName, ShareDemand>,
    /// Cells that wait for this cell to lend, itself included.
    pub unmet: DemandQueue,
    /// This cell's view of the lender of each customer's quota.
    pub views: SortedTable<CustomerName, BorrowerView>,
    /// Totals that this cell borrowed and returned, as committed to the journal.
    pub committed: SortedTable<CustomerName, ShareTotals>,
    /// Lenders with a report in flight.
    pub reports_in_flight: Vec<CellNumber>,
    /// When it was last checked which reports are due.
    pub reports_checked: MonoTime,
    /// When it was last checked which unused shares to return.
    pub returns_checked: MonoTime,
}

impl ShareTracker {
    /// The cell that lends the customer's quota; `None` when that is `cell` itself or
    /// there are no other cells.
    pub fn lender_for(&self, customer: &CustomerName, cell: CellNumber) -> Option<CellNumber> {
        let lender = self.map?.lender_of(customer.as_str());
        (lender != cell).then_some(lender)
    }

    /// This cell's view of the lender of the customer's quota, created when missing.
    pub fn view_mut(&mut self, customer: &CustomerName) -> &mut BorrowerView {
        self.views
            .get_or_insert_with(customer.clone(), BorrowerView::default)
    }
}
