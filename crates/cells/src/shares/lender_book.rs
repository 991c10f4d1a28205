//! The borrowers that wait for a share.

use crate::shares::UnmetWant;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

const WANT_LIFETIME_MS: u64 = 5_000;

/// The cells whose wants were not met, by customer; none of it lasts.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::LenderBook;
/// use sapphirestile_core::CellNumber;
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::MonoTime;
///
/// let customer = CustomerName::try_from("tailors").unwrap();
/// let (first, second) = (CellNumber::new(1), CellNumber::new(2));
/// let mut book = LenderBook::default();
/// book.note_unmet(&customer, first, MonoTime::from_millis(10));
/// book.note_unmet(&customer, second, MonoTime::from_millis(20));
/// assert!(book.is_first(&customer, first) && !book.is_first(&customer, second));
/// book.note_met(&customer, first);
/// assert!(book.is_first(&customer, second));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LenderBook {
    unmet: SortedTable<CustomerName, SortedTable<CellNumber, UnmetWant>>,
}

impl LenderBook {
    /// Takes note that a cell's want was not met.
    pub fn note_unmet(&mut self, customer: &CustomerName, cell: CellNumber, now: MonoTime) {
        let wants = self
            .unmet
            .get_or_insert_with(customer.clone(), SortedTable::new);
        let until = now.plus_millis(WANT_LIFETIME_MS);
        let want = wants.get_or_insert_with(cell, || UnmetWant { since: now, until });
        want.until = until;
    }

    /// Takes note that a cell wants nothing more.
    pub fn note_met(&mut self, customer: &CustomerName, cell: CellNumber) {
        if let Some(wants) = self.unmet.get_mut(customer) {
            wants.remove(&cell);
        }
    }

    /// Forgets wants that were not asked for again.
    pub fn pass_time(&mut self, now: MonoTime) {
        for (_, wants) in self.unmet.iter_mut() {
            wants.retain(|_, want| want.until > now);
        }
        self.unmet.retain(|_, wants| !wants.is_empty());
    }

    /// The cells that wait.
    pub fn waiting(&self, customer: &CustomerName) -> impl Iterator<Item = CellNumber> {
        let wants = self.unmet.get(customer);
        wants.into_iter().flat_map(|wants| wants.keys().copied())
    }

    /// Whether another cell than `cell` waits.
    #[must_use]
    pub fn others_wait(&self, customer: &CustomerName, cell: CellNumber) -> bool {
        self.waiting(customer).any(|waiting| waiting != cell)
    }

    /// Whether no other cell has waited longer than `cell`.
    #[must_use]
    pub fn is_first(&self, customer: &CustomerName, cell: CellNumber) -> bool {
        let Some(wants) = self.unmet.get(customer) else {
            return true;
        };
        let first = wants
            .iter()
            .min_by_key(|(waiting, want)| (want.since, **waiting));
        first.is_none_or(|(waiting, _)| *waiting == cell)
    }
}
