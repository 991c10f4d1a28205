//! What an owner knows of shares.

use crate::map::CellMap;
use crate::shares::BorrowerView;
use crate::shares::LenderBook;
use crate::shares::ShareTotals;
use crate::shares::ShareWant;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// What an owner knows of shares beside its journal; none of it lasts.
#[derive(Debug, Default)]
pub struct ShareBook {
    /// The cells that lend to each other; none when this cell has no others.
    pub map: Option<CellMap>,
    /// The customers with their whole quotas.
    pub customers: SortedTable<CustomerName, CustomerEntry>,
    /// What waiting tasks want, as of the latest plan.
    pub wants: SortedTable<CustomerName, ShareWant>,
    /// Who waits for this cell to lend.
    pub lender: LenderBook,
    /// How this cell stands with each lender.
    pub views: SortedTable<CustomerName, BorrowerView>,
    /// What the journal holds of what this cell borrows.
    pub committed: SortedTable<CustomerName, ShareTotals>,
    /// Lenders that were asked and have not answered yet.
    pub asking: Vec<CellNumber>,
    /// When due reports were last looked for.
    pub looked: MonoTime,
    /// When spare shares were last looked for.
    pub tended: MonoTime,
}

impl ShareBook {
    /// The cell that lends the customer's quota, unless it is `cell` itself.
    pub fn lender_for(&self, customer: &CustomerName, cell: CellNumber) -> Option<CellNumber> {
        let lender = self.map?.lender_of(customer.as_str());
        (lender != cell).then_some(lender)
    }

    /// How this cell stands with the lender of a customer's quota.
    pub fn view_mut(&mut self, customer: &CustomerName) -> &mut BorrowerView {
        self.views
            .get_or_insert_with(customer.clone(), BorrowerView::default)
    }
}
