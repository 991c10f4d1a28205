//! Transitions of shares that a cell lends and borrows.

use crate::shares::ShareCounter;
use crate::shares::ShareTotals;
use crate::state::CellState;
use crate::state::TransitionError;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;

impl CellState {
    /// Shares of a customer's quota that this cell lends, by borrower.
    pub fn lent(
        &self,
        customer: &CustomerName,
    ) -> impl Iterator<Item = (CellNumber, &ShareTotals)> {
        let rows = self.lent.get(customer);
        rows.into_iter()
            .flat_map(|rows| rows.iter().map(|(borrower, totals)| (*borrower, totals)))
    }

    /// Totals lent to and returned by one borrower.
    #[must_use]
    pub fn lent_to(&self, customer: &CustomerName, borrower: CellNumber) -> ShareTotals {
        let rows = self.lent.get(customer);
        let totals = rows.and_then(|rows| rows.get(&borrower));
        totals.copied().unwrap_or_default()
    }

    /// Sum of the shares that borrowers hold of a customer's quota.
    #[must_use]
    pub fn lent_out(&self, customer: &CustomerName) -> ResourceSize {
        self.lent(customer)
            .fold(ResourceSize::default(), |sum, (_, totals)| {
                sum.plus(&totals.held())
            })
    }

    /// Shares that this cell borrows, by customer.
    #[must_use]
    pub const fn borrowed(&self) -> &SortedTable<CustomerName, ShareTotals> {
        &self.borrowed
    }

    /// Totals that this cell has borrowed and returned of a customer's quota.
    #[must_use]
    pub fn borrowed_of(&self, customer: &CustomerName) -> ShareTotals {
        let totals = self.borrowed.get(customer);
        totals.copied().unwrap_or_default()
    }

    pub(super) fn lend_share(
        &mut self,
        customer: &CustomerName,
        borrower: CellNumber,
        total: &ShareCounter,
    ) -> Result<(), TransitionError> {
        let known = self.lent_to(customer, borrower);
        let totals = with_lent(&known, total)?;
        self.set_lent(customer, borrower, totals);
        Ok(())
    }

    pub(super) fn regain_share(
        &mut self,
        customer: &CustomerName,
        borrower: CellNumber,
        total: &ShareCounter,
    ) -> Result<(), TransitionError> {
        let known = self.lent_to(customer, borrower);
        let totals = with_returned(&known, total)?;
        self.set_lent(customer, borrower, totals);
        Ok(())
    }

    pub(super) fn borrow_share(
        &mut self,
        customer: &CustomerName,
        total: &ShareCounter,
    ) -> Result<(), TransitionError> {
        let known = self.borrowed_of(customer);
        let totals = with_lent(&known, total)?;
        self.borrowed.insert(customer.clone(), totals);
        Ok(())
    }

    pub(super) fn return_share(
        &mut self,
        customer: &CustomerName,
        total: &ShareCounter,
    ) -> Result<(), TransitionError> {
        let known = self.borrowed_of(customer);
        let totals = with_returned(&known, total)?;
        self.borrowed.insert(customer.clone(), totals);
        Ok(())
    }

    fn set_lent(&mut self, customer: &CustomerName, borrower: CellNumber, totals: ShareTotals) {
        let rows = self
            .lent
            .get_or_insert_with(customer.clone(), SortedTable::new);
        rows.insert(borrower, totals);
    }
}

fn with_lent(known: &ShareTotals, total: &ShareCounter) -> Result<ShareTotals, TransitionError> {
    check_growth(&known.lent, total)?;
    Ok(ShareTotals {
        lent: *total,
        ..*known
    })
}

fn with_returned(
    known: &ShareTotals,
    total: &ShareCounter,
) -> Result<ShareTotals, TransitionError> {
    check_growth(&known.returned, total)?;
    if !known.lent.reaches(total) {
        return Err(TransitionError::ShareOverdrawn);
    }
    Ok(ShareTotals {
        returned: *total,
        ..*known
    })
}

/// Rejects a total that arrives late or twice.
fn check_growth(known: &ShareCounter, total: &ShareCounter) -> Result<(), TransitionError> {
    if total.reaches(known) && total != known {
        return Ok(());
    }
    Err(TransitionError::CounterBehind)
}
