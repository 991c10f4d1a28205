//! Which shares an owner borrows and returns.

use crate::journal::CellTransition;
use crate::journal::EntryBody;
use crate::journal::JournalEntry;
use crate::owner::CellOwner;
use crate::owner::OpenPhase;
use crate::shares::BorrowerView;
use crate::shares::ShareAnswer;
use crate::shares::ShareAsk;
use crate::shares::ShareCounter;
use crate::shares::ShareOrder;
use crate::shares::ShareReport;
use crate::shares::ShareTotals;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;

const LOOK_INTERVAL_MS: u64 = 100;
const TEND_INTERVAL_MS: u64 = 1_000;
const WANT_INTERVAL_MS: u64 = 1_000;
const HOLD_INTERVAL_MS: u64 = 10_000;
const REST_INTERVAL_MS: u64 = 60_000;

impl CellOwner<OpenPhase> {
    /// Returns shares that lie idle, and gives the reports that are due.
    ///
    /// A report carries only what is in the journal. Each is answered by
    /// [`CellOwner::take_shares`] or [`CellOwner::shares_lost`].
    pub fn due_shares(&mut self, now: MonoTime) -> Vec<ShareOrder> {
        let looked = now.millis_since(self.phase.shares.looked) < LOOK_INTERVAL_MS;
        if self.phase.shares.map.is_none() || looked {
            return Vec::new();
        }
        self.phase.shares.looked = now;
        if now.millis_since(self.phase.shares.tended) >= TEND_INTERVAL_MS {
            self.phase.shares.tended = now;
            self.return_idle(now);
        }
        let mut orders: Vec<ShareOrder> = Vec::new();
        for customer in self.share_customers() {
            if let Some(lender) = self.lender_due(&customer, now) {
                let ask = self.ask_for(&customer, now);
                self.add_ask(&mut orders, lender, ask);
            }
        }
        let lenders = orders.iter().map(|order| order.lender);
        self.phase.shares.asking.extend(lenders);
        orders
    }

    /// Takes a lender's answers in; an answer that comes late says less.
    pub fn take_shares(&mut self, lender: CellNumber, answers: &[ShareAnswer], now: MonoTime) {
        self.phase.shares.asking.retain(|asked| *asked != lender);
        for answer in answers {
            let customer = &answer.customer;
            if self.phase.shares.lender_for(customer, self.cell) != Some(lender) {
                continue;
            }
            let view = self.phase.shares.view_mut(customer);
            view.set_cap(answer.cap, now);
            view.unmet = answer.unmet;
            self.borrow_up_to(customer, answer.lent);
        }
    }

    /// Takes note that a report was not answered: it is made again.
    pub fn shares_lost(&mut self, lender: CellNumber) {
        let shares = &mut self.phase.shares;
        shares.asking.retain(|asked| *asked != lender);
        let map = shares.map;
        for (customer, view) in shares.views.iter_mut() {
            if map.is_some_and(|map| map.lender_of(customer.as_str()) == lender) {
                view.moved = true;
            }
        }
    }

    /// Takes note of what may be told of now.
    pub(super) fn note_committed_shares(&mut self, entry: &JournalEntry) {
        let EntryBody::Batch(transitions) = &entry.body else {
            return;
        };
        for transition in transitions {
            let (CellTransition::ShareBorrowed { customer, .. }
            | CellTransition::ShareReturned { customer, .. }) = transition
            else {
                continue;
            };
            let shares = &mut self.phase.shares;
            let known = shares.committed.get(customer).copied().unwrap_or_default();
            let totals = totals_after(known, transition);
            shares.committed.insert(customer.clone(), totals);
            shares.view_mut(customer).moved = true;
        }
    }

    /// What this cell may use of a quota that another lends.
    pub(super) fn borrower_share(&self, customer: &CustomerName, now: MonoTime) -> ResourceSize {
        let held = self.state.borrowed_of(customer).held();
        let view = self.phase.shares.views.get(customer);
        let cap = view.and_then(|view| view.cap(now));
        cap.map_or(held, |cap| held.at_most(cap))
    }

    fn borrow_up_to(&mut self, customer: &CustomerName, total: ShareCounter) {
        let known = self.state.borrowed_of(customer).lent;
        if total != known && total.reaches(&known) {
            let customer = customer.clone();
            self.propose_sure(CellTransition::ShareBorrowed { customer, total });
        }
    }

    /// Returns what was spare for a while, what is above the lender's cap, and
    /// what is too little for a task that waits in vain.
    fn return_idle(&mut self, now: MonoTime) {
        let used = self.used_shares();
        if !self.has_waiting() {
            self.phase.shares.wants = SortedTable::new();
        }
        for (customer, totals) in self.state.borrowed().clone().iter() {
            let held = totals.held();
            let used = used.get(customer).copied().unwrap_or_default();
            assert!(used.fits_in(&held), "more is used of a quota than was lent");
            let share = self.share_to_return(customer, &held, &used, now);
            if share != ResourceSize::default() {
                let customer = customer.clone();
                let total = totals.returned.plus(&share);
                self.propose_sure(CellTransition::ShareReturned { customer, total });
            }
        }
    }

    fn share_to_return(
        &mut self,
        customer: &CustomerName,
        held: &ResourceSize,
        used: &ResourceSize,
        now: MonoTime,
    ) -> ResourceSize {
        let spare = held.minus(used);
        let want = self.phase.shares.wants.get(customer).copied();
        let view = self.phase.shares.view_mut(customer);
        let idle = view.idle_share(&spare, now);
        let above = view
            .cap(now)
            .map_or_else(ResourceSize::default, |cap| held.minus(&cap.at_least(used)));
        let in_vain = view.unmet && want.is_some_and(|want| !want.size.fits_in(&spare));
        let pieces = if in_vain {
            spare
        } else {
            ResourceSize::default()
        };
        idle.at_least(&above).at_least(&pieces)
    }

    fn share_customers(&self) -> Vec<CustomerName> {
        let shares = &self.phase.shares;
        let mut customers: Vec<CustomerName> = shares.customers.keys().cloned().collect();
        customers.extend(shares.committed.keys().cloned());
        customers.sort();
        customers.dedup();
        customers
    }

    /// The lender to report to about the customer, when that is due.
    fn lender_due(&self, customer: &CustomerName, now: MonoTime) -> Option<CellNumber> {
        let shares = &self.phase.shares;
        let lender = shares.lender_for(customer, self.cell)?;
        if shares.asking.contains(&lender) {
            return None;
        }
        let view = shares.views.get(customer);
        let Some(asked) = view.and_then(|view| view.asked) else {
            return Some(lender);
        };
        let held = shares.committed.get(customer).map(ShareTotals::held);
        let interval_ms = if shares.wants.contains(customer) || view.is_some_and(|view| view.moved)
        {
            WANT_INTERVAL_MS
        } else if held.unwrap_or_default() == ResourceSize::default() {
            REST_INTERVAL_MS
        } else {
            HOLD_INTERVAL_MS
        };
        (now.millis_since(asked) >= interval_ms).then_some(lender)
    }

    fn ask_for(&mut self, customer: &CustomerName, now: MonoTime) -> ShareAsk {
        let shares = &mut self.phase.shares;
        let want = shares.wants.get(customer).copied().unwrap_or_default();
        let totals = shares.committed.get(customer).copied().unwrap_or_default();
        let view: &mut BorrowerView = shares.view_mut(customer);
        view.asked = Some(now);
        view.moved = false;
        ShareAsk {
            customer: customer.clone(),
            totals,
            wanted: want.wanted,
            unit: want.unit,
        }
    }

    fn add_ask(&self, orders: &mut Vec<ShareOrder>, lender: CellNumber, ask: ShareAsk) {
        if let Some(order) = orders.iter_mut().find(|order| order.lender == lender) {
            order.report.asks.push(ask);
            return;
        }
        let report = ShareReport {
            borrower: self.cell,
            asks: vec![ask],
        };
        orders.push(ShareOrder { lender, report });
    }
}

fn totals_after(known: ShareTotals, transition: &CellTransition) -> ShareTotals {
    match transition {
        CellTransition::ShareBorrowed { total, .. } => ShareTotals {
            lent: *total,
            ..known
        },
        CellTransition::ShareReturned { total, .. } => ShareTotals {
            returned: *total,
            ..known
        },
        _ => known,
    }
}
