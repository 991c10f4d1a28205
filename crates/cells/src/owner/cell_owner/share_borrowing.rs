//! Borrowing and returning of shares of quotas.

use crate::journal::CellTransition;
use crate::journal::EntryBody;
use crate::journal::JournalEntry;
use crate::owner::CellOwner;
use crate::owner::OwningPhase;
use crate::shares::BorrowerView;
use crate::shares::LenderReport;
use crate::shares::ShareAnswer;
use crate::shares::ShareCounter;
use crate::shares::ShareReport;
use crate::shares::ShareRequest;
use crate::shares::ShareTotals;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;

/// Time between two checks which reports are due.
const REPORT_CHECK_INTERVAL_MS: u64 = 100;
/// Time between two checks which unused shares to return.
const RETURN_CHECK_INTERVAL_MS: u64 = 1_000;
/// Time between reports while tasks wait for a share or totals have changed.
const DEMAND_REPORT_INTERVAL_MS: u64 = 1_000;
/// Time between reports while this cell holds a share and needs no more.
const HOLDER_REPORT_INTERVAL_MS: u64 = 10_000;
/// Time between reports while this cell neither holds nor needs a share.
const EMPTY_REPORT_INTERVAL_MS: u64 = 60_000;

impl CellOwner<OwningPhase> {
    /// Returns unused shares to their lenders, and takes the reports that are due.
    ///
    /// A report carries only what is in the journal. Call
    /// [`CellOwner::apply_share_answers`] with the answer to each, or
    /// [`CellOwner::share_report_lost`] when none came.
    pub fn due_share_reports(&mut self, now: MonoTime) -> Vec<LenderReport> {
        let checked_recently =
            now.millis_since(self.phase.shares.reports_checked) < REPORT_CHECK_INTERVAL_MS;
        if self.phase.shares.map.is_none() || checked_recently {
            return Vec::new();
        }
        self.phase.shares.reports_checked = now;
        if now.millis_since(self.phase.shares.returns_checked) >= RETURN_CHECK_INTERVAL_MS {
            self.phase.shares.returns_checked = now;
            self.return_idle(now);
        }
        let mut reports: Vec<LenderReport> = Vec::new();
        for customer in self.share_customers() {
            if let Some(lender) = self.lender_due(&customer, now) {
                let request = self.request_for(&customer, now);
                self.add_request(&mut reports, lender, request);
            }
        }
        let lenders = reports.iter().map(|due| due.lender);
        self.phase.shares.reports_in_flight.extend(lenders);
        reports
    }

    /// Records a lender's answers. Totals that are not larger than known ones are ignored.
    pub fn apply_share_answers(
        &mut self,
        lender: CellNumber,
        answers: &[ShareAnswer],
        now: MonoTime,
    ) {
        self.phase
            .shares
            .reports_in_flight
            .retain(|cell| *cell != lender);
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

    /// Records that a report was not answered; it is sent again.
    pub fn share_report_lost(&mut self, lender: CellNumber) {
        let shares = &mut self.phase.shares;
        shares.reports_in_flight.retain(|cell| *cell != lender);
        let map = shares.map;
        for (customer, view) in shares.views.iter_mut() {
            if map.is_some_and(|map| map.lender_of(customer.as_str()) == lender) {
                view.report_pending = true;
            }
        }
    }

    /// Updates the totals that may be reported, because they are now in the journal.
    pub(super) fn update_committed_shares(&mut self, entry: &JournalEntry) {
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
            shares.view_mut(customer).report_pending = true;
        }
    }

    /// The share that this cell may use of a quota that another cell lends.
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
            self.propose_checked(CellTransition::ShareBorrowed { customer, total });
        }
    }

    /// Returns what stayed unused for a while, what exceeds the lender's cap, and, while
    /// the lender has no more to lend, what is too small for the waiting task.
    fn return_idle(&mut self, now: MonoTime) {
        let used = self.used_shares();
        if !self.has_waiting() {
            self.phase.shares.demands = SortedTable::new();
        }
        for (customer, totals) in self.state.borrowed().clone().iter() {
            let held = totals.held();
            let used = used.get(customer).copied().unwrap_or_default();
            assert!(
                used.fits_in(&held),
                "{used:?} of the quota of {customer} is used, but only {held:?} was lent"
            );
            let share = self.share_to_return(customer, &held, &used, now);
            if share != ResourceSize::default() {
                let customer = customer.clone();
                let total = totals.returned.plus(&share);
                self.propose_checked(CellTransition::ShareReturned { customer, total });
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
        let demand = self.phase.shares.demands.get(customer).copied();
        let view = self.phase.shares.view_mut(customer);
        let idle = view.idle_share(&spare, now);
        let above = view
            .cap(now)
            .map_or_else(ResourceSize::default, |cap| held.minus(&cap.at_least(used)));
        let too_small = view.unmet && demand.is_some_and(|demand| !demand.size.fits_in(&spare));
        let unusable = if too_small {
            spare
        } else {
            ResourceSize::default()
        };
        idle.at_least(&above).at_least(&unusable)
    }

    fn share_customers(&self) -> Vec<CustomerName> {
        let shares = &self.phase.shares;
        let mut customers: Vec<CustomerName> = shares.customers.keys().cloned().collect();
        customers.extend(shares.committed.keys().cloned());
        customers.sort();
        customers.dedup();
        customers
    }

    /// The lender, if a report about the customer is due.
    fn lender_due(&self, customer: &CustomerName, now: MonoTime) -> Option<CellNumber> {
        let shares = &self.phase.shares;
        let lender = shares.lender_for(customer, self.cell)?;
        if shares.reports_in_flight.contains(&lender) {
            return None;
        }
        let view = shares.views.get(customer);
        let Some(asked) = view.and_then(|view| view.asked) else {
            return Some(lender);
        };
        let held = shares.committed.get(customer).map(ShareTotals::held);
        let interval_ms =
            if shares.demands.contains(customer) || view.is_some_and(|view| view.report_pending) {
                DEMAND_REPORT_INTERVAL_MS
            } else if held.unwrap_or_default() == ResourceSize::default() {
                EMPTY_REPORT_INTERVAL_MS
            } else {
                HOLDER_REPORT_INTERVAL_MS
            };
        (now.millis_since(asked) >= interval_ms).then_some(lender)
    }

    fn request_for(&mut self, customer: &CustomerName, now: MonoTime) -> ShareRequest {
        let shares = &mut self.phase.shares;
        let demand = shares.demands.get(customer).copied().unwrap_or_default();
        let totals = shares.committed.get(customer).copied().unwrap_or_default();
        let view: &mut BorrowerView = shares.view_mut(customer);
        view.asked = Some(now);
        view.report_pending = false;
        ShareRequest {
            customer: customer.clone(),
            totals,
            wanted: demand.wanted,
            unit: demand.unit,
        }
    }

    fn add_request(
        &self,
        reports: &mut Vec<LenderReport>,
        lender: CellNumber,
        request: ShareRequest,
    ) {
        if let Some(due) = reports.iter_mut().find(|due| due.lender == lender) {
            due.report.requests.push(request);
            return;
        }
        let report = ShareReport {
            borrower: self.cell,
            requests: vec![request],
        };
        reports.push(LenderReport { lender, report });
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
