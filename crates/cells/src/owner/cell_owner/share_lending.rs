//! Which shares an owner lends, and what is in force in its own cell.

use crate::journal::CellTransition;
use crate::owner::CellOwner;
use crate::owner::OpenPhase;
use crate::planner::PlannedStart;
use crate::shares::ShareAnswer;
use crate::shares::ShareAsk;
use crate::shares::ShareReport;
use crate::state::TaskEntry;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;

impl CellOwner<OpenPhase> {
    /// Takes a borrower's report in, and lends what it wants as far as there is
    /// any. The answers may be told once all that was proposed is in the journal.
    ///
    /// An ask about a customer whose quota this cell does not lend is passed over.
    pub fn lend_shares(&mut self, report: &ShareReport, now: MonoTime) -> Vec<ShareAnswer> {
        self.phase.shares.lender.pass_time(now);
        let used = self.used_shares();
        let asks = report.asks.iter();
        asks.filter_map(|ask| {
            let used = used.get(&ask.customer).copied().unwrap_or_default();
            self.answer_ask(report.borrower, ask, &used, now)
        })
        .collect()
    }

    /// What the assigned tasks of each customer take in this cell.
    #[must_use]
    pub fn used_shares(&self) -> SortedTable<CustomerName, ResourceSize> {
        let mut used = SortedTable::new();
        let mut tasks = self.state.tasks().iter().peekable();
        for (job, record) in self.state.jobs().iter() {
            let mut sum = ResourceSize::default();
            while let Some((_, entry)) = tasks.next_if(|(task, _)| task.job == *job) {
                if let TaskEntry::Assigned(cycle) = entry {
                    sum = sum.plus(&cycle.phase().size);
                }
            }
            if sum != ResourceSize::default() {
                let customer = record.order.customer.clone();
                let total = used.get_or_insert_with(customer, ResourceSize::default);
                *total = total.plus(&sum);
            }
        }
        used
    }

    /// The share of each customer's quota that is in force in this cell.
    pub(super) fn shares_in_force(&self, now: MonoTime) -> SortedTable<CustomerName, ResourceSize> {
        let customers = self.phase.shares.customers.iter();
        customers
            .map(|(customer, entry)| {
                let lender = self.phase.shares.lender_for(customer, self.cell);
                let share = match lender {
                    None => self.lender_share(customer, &entry.quota),
                    Some(_) => self.borrower_share(customer, now).at_most(&entry.quota),
                };
                (customer.clone(), share)
            })
            .collect()
    }

    /// Takes note of what the latest plan left waiting for a share. A lender that
    /// has started a task has had its turn.
    pub(super) fn note_wants(&mut self, starts: &[PlannedStart], now: MonoTime) {
        self.phase.shares.wants = self.phase.planner.take_wants();
        for start in starts {
            if let Some(record) = self.state.jobs().get(&start.task.job) {
                let customer = &record.order.customer;
                self.phase.shares.lender.note_met(customer, self.cell);
            }
        }
        let shares = &mut self.phase.shares;
        let wants: Vec<CustomerName> = shares.wants.keys().cloned().collect();
        for customer in wants {
            if shares.lender_for(&customer, self.cell).is_none() {
                shares.lender.note_unmet(&customer, self.cell, now);
            }
        }
    }

    fn answer_ask(
        &mut self,
        borrower: CellNumber,
        ask: &ShareAsk,
        used: &ResourceSize,
        now: MonoTime,
    ) -> Option<ShareAnswer> {
        let customer = &ask.customer;
        if borrower == self.cell || self.phase.shares.lender_for(customer, self.cell).is_some() {
            return None;
        }
        self.regain(borrower, ask);
        let known = self.state.lent_to(customer, borrower);
        let settled = ask.totals.lent == known.lent;
        let wants = ask.wanted != ResourceSize::default();
        let mut granted = ResourceSize::default();
        if wants && settled {
            granted = self.grantable(borrower, ask, used);
            self.lend(borrower, customer, &granted);
        }
        let unmet = wants && settled && granted == ResourceSize::default();
        if unmet {
            let book = &mut self.phase.shares.lender;
            book.note_unmet(customer, borrower, now);
        } else {
            self.phase.shares.lender.note_met(customer, borrower);
        }
        Some(ShareAnswer {
            customer: customer.clone(),
            lent: self.state.lent_to(customer, borrower).lent,
            cap: self.cap_of(borrower, customer, &granted),
            unmet,
        })
    }

    /// Takes in what a borrower has returned; a report that comes late says less.
    fn regain(&mut self, borrower: CellNumber, ask: &ShareAsk) {
        let known = self.state.lent_to(&ask.customer, borrower);
        let total = ask.totals.returned;
        if total != known.returned && total.reaches(&known.returned) {
            let customer = ask.customer.clone();
            self.propose_sure(CellTransition::ShareRegained {
                customer,
                borrower,
                total,
            });
        }
    }

    fn lend(&mut self, borrower: CellNumber, customer: &CustomerName, share: &ResourceSize) {
        if *share == ResourceSize::default() {
            return;
        }
        let left = self
            .quota_of(customer)
            .minus(&self.state.lent_out(customer));
        assert!(share.fits_in(&left), "more would be lent than is left");
        let known = self.state.lent_to(customer, borrower);
        let total = known.lent.plus(share);
        self.propose_sure(CellTransition::ShareLent {
            customer: customer.clone(),
            borrower,
            total,
        });
        let quota = self.quota_of(customer);
        assert!(
            self.state
                .lent_out(customer)
                .fits_in(&quota.at_least(share)),
            "more was lent than the whole quota"
        );
    }

    /// What may be lent now. While other cells wait, a borrower gets no more than
    /// an equal part, or the one task for which it has waited the longest.
    fn grantable(&self, borrower: CellNumber, ask: &ShareAsk, used: &ResourceSize) -> ResourceSize {
        let customer = &ask.customer;
        let quota = self.quota_of(customer);
        let free = quota.minus(&self.state.lent_out(customer)).minus(used);
        if !ask.unit.fits_in(&free) {
            return ResourceSize::default();
        }
        let book = &self.phase.shares.lender;
        let granted = ask.wanted.at_most(&free);
        if !book.others_wait(customer, borrower) {
            return granted;
        }
        let held = self.state.lent_to(customer, borrower).held();
        let part = self.equal_part(customer, &quota).minus(&held);
        if ask.unit.fits_in(&part) {
            return granted.at_most(&part);
        }
        if book.is_first(customer, borrower) {
            return ask.unit;
        }
        ResourceSize::default()
    }

    /// What a borrower is told to use at the most: an equal part while others wait
    /// or more is lent than the quota, but always what was lent to it just now.
    fn cap_of(
        &self,
        borrower: CellNumber,
        customer: &CustomerName,
        granted: &ResourceSize,
    ) -> Option<ResourceSize> {
        let quota = self.quota_of(customer);
        let waited_for = self.phase.shares.lender.others_wait(customer, borrower);
        let overdrawn = !self.state.lent_out(customer).fits_in(&quota);
        if !waited_for && !overdrawn {
            return None;
        }
        let part = self.equal_part(customer, &quota);
        if *granted == ResourceSize::default() {
            return Some(part);
        }
        let held = self.state.lent_to(customer, borrower).held();
        Some(part.at_least(&held))
    }

    /// What the lender itself may use.
    fn lender_share(&self, customer: &CustomerName, quota: &ResourceSize) -> ResourceSize {
        let left = quota.minus(&self.state.lent_out(customer));
        let book = &self.phase.shares.lender;
        if !book.others_wait(customer, self.cell) || book.is_first(customer, self.cell) {
            return left;
        }
        left.at_most(&self.equal_part(customer, quota))
    }

    /// An equal part for each cell that holds some of the quota or waits for it.
    fn equal_part(&self, customer: &CustomerName, quota: &ResourceSize) -> ResourceSize {
        let holding = self.state.lent(customer);
        let holding = holding.filter(|(_, totals)| totals.held() != ResourceSize::default());
        let mut cells: Vec<CellNumber> = holding.map(|(borrower, _)| borrower).collect();
        cells.extend(self.phase.shares.lender.waiting(customer));
        cells.push(self.cell);
        cells.sort_unstable();
        cells.dedup();
        quota.divided_by(u32::try_from(cells.len()).unwrap_or(u32::MAX))
    }

    fn quota_of(&self, customer: &CustomerName) -> ResourceSize {
        let entry = self.phase.shares.customers.get(customer);
        entry.map(|entry| entry.quota).unwrap_or_default()
    }
}
