//! Cells that wait for a share of a quota.

use crate::shares::UnmetDemand;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// A demand that is not repeated within this time expires.
const DEMAND_LIFETIME_MS: u64 = 5_000;

/// Cells whose demands were not met, by customer. Not durable.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::DemandQueue;
/// use sapphirestile_core::CellNumber;
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::MonoTime;
///
/// let customer = CustomerName::try_from("tailors").unwrap();
/// let (first, second) = (CellNumber::new(1), CellNumber::new(2));
/// let mut queue = DemandQueue::default();
/// queue.add(&customer, first, MonoTime::from_millis(10));
/// queue.add(&customer, second, MonoTime::from_millis(20));
/// assert!(queue.is_first(&customer, first) && !queue.is_first(&customer, second));
/// queue.remove(&customer, first);
/// assert!(queue.is_first(&customer, second));
/// ```
#[derive(Clone, Debug, Default)]
pub struct DemandQueue {
    demands: SortedTable<CustomerName, SortedTable<CellNumber, UnmetDemand>>,
}

impl DemandQueue {
    /// Adds a demand that was not met, or extends the one that the cell already has.
    pub fn add(&mut self, customer: &CustomerName, cell: CellNumber, now: MonoTime) {
        let demands = self
            .demands
            .get_or_insert_with(customer.clone(), SortedTable::new);
        let until = now.plus_millis(DEMAND_LIFETIME_MS);
        let demand = demands.get_or_insert_with(cell, || UnmetDemand { since: now, until });
        demand.until = until;
    }

    /// Removes a cell's demand once it is met or withdrawn.
    pub fn remove(&mut self, customer: &CustomerName, cell: CellNumber) {
        if let Some(demands) = self.demands.get_mut(customer) {
            demands.remove(&cell);
        }
    }

    /// Removes demands that were not repeated within 5 s.
    pub fn expire(&mut self, now: MonoTime) {
        for (_, demands) in self.demands.iter_mut() {
            demands.retain(|_, demand| demand.until > now);
        }
        self.demands.retain(|_, demands| !demands.is_empty());
    }

    /// The cells that wait for a share of the customer's quota.
    pub fn waiting(&self, customer: &CustomerName) -> impl Iterator<Item = CellNumber> {
        let demands = self.demands.get(customer);
        demands
            .into_iter()
            .flat_map(|demands| demands.keys().copied())
    }

    /// Whether a cell other than `cell` waits.
    #[must_use]
    pub fn others_wait(&self, customer: &CustomerName, cell: CellNumber) -> bool {
        self.waiting(customer).any(|waiting| waiting != cell)
    }

    /// Whether no other cell has waited longer than `cell`.
    #[must_use]
    pub fn is_first(&self, customer: &CustomerName, cell: CellNumber) -> bool {
        let Some(demands) = self.demands.get(customer) else {
            return true;
        };
        let first = demands
            .iter()
            .min_by_key(|(waiting, demand)| (demand.since, **waiting));
        first.is_none_or(|(waiting, _)| *waiting == cell)
    }
}
