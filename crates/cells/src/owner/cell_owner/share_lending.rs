//! Lending of shares of quotas, and the shares in force in this cell.

use crate::journal::CellTransition;
use crate::owner::CellOwner;
use crate::owner::OwningPhase;
use crate::planner::PlannedStart;
use crate::shares::ShareAnswer;
use crate::shares::ShareReport;
use crate::shares::ShareRequest;
use crate::state::TaskEntry;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;

impl CellOwner<OwningPhase> {
    /// Records a borrower's report, and lends what it wants as far as available. The
    /// answers may be sent once all changes proposed so far are in the journal.
    ///
    /// Requests about customers whose quota this cell does not lend get no answer.
    pub fn lend_shares(&mut self, report: &ShareReport, now: MonoTime) -> Vec<ShareAnswer> {
        self.phase.shares.unmet.expire(now);
        let used = self.used_shares();
        let requests = report.requests.iter();
        requests
            .filter_map(|request| {
                let used = used.get(&request.customer).copied().unwrap_or_default();
                self.answer_request(report.borrower, request, &used, now)
            })
            .collect()
    }

    /// Resources used by the assigned tasks of each customer in this cell.
    #[must_use]
    pub fn used_shares(&self) -> SortedTable<CustomerName, ResourceSize> {
        let mut used = SortedTable::new();
        let mut tasks = self.state.tasks().iter().peekable();
        for (job, progress) in self.state.jobs().iter() {
            let mut sum = ResourceSize::default();
            while let Some((_, entry)) = tasks.next_if(|(task, _)| task.job == *job) {
                if let TaskEntry::Assigned(cycle) = entry {
                    sum = sum.plus(&cycle.phase().size);
                }
            }
            if sum != ResourceSize::default() {
                let customer = progress.spec.customer.clone();
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

    /// Records which tasks the latest plan left waiting for a share. A lender that started
    /// a task of a customer gives up its position in that customer's queue.
    pub(super) fn record_demands(&mut self, starts: &[PlannedStart], now: MonoTime) {
        self.phase.shares.demands = self.phase.planner.take_demands();
        for start in starts {
            if let Some(progress) = self.state.jobs().get(&start.task.job) {
                let customer = &progress.spec.customer;
                self.phase.shares.unmet.remove(customer, self.cell);
            }
        }
        let shares = &mut self.phase.shares;
        let demands: Vec<CustomerName> = shares.demands.keys().cloned().collect();
        for customer in demands {
            if shares.lender_for(&customer, self.cell).is_none() {
                shares.unmet.add(&customer, self.cell, now);
            }
        }
    }

    fn answer_request(
        &mut self,
        borrower: CellNumber,
        request: &ShareRequest,
        used: &ResourceSize,
        now: MonoTime,
    ) -> Option<ShareAnswer> {
        let customer = &request.customer;
        if borrower == self.cell || self.phase.shares.lender_for(customer, self.cell).is_some() {
            return None;
        }
        self.record_return(borrower, request);
        let known = self.state.lent_to(customer, borrower);
        // A borrower that has not recorded all that was lent to it is lent no more, so that a
        // repeated request is lent to once.
        let lent_is_recorded = request.totals.lent == known.lent;
        let has_demand = request.wanted != ResourceSize::default();
        let mut granted = ResourceSize::default();
        if has_demand && lent_is_recorded {
            granted = self.grantable(borrower, request, used);
            self.lend(borrower, customer, &granted);
        }
        let unmet = has_demand && lent_is_recorded && granted == ResourceSize::default();
        if unmet {
            let queue = &mut self.phase.shares.unmet;
            queue.add(customer, borrower, now);
        } else {
            self.phase.shares.unmet.remove(customer, borrower);
        }
        Some(ShareAnswer {
            customer: customer.clone(),
            lent: self.state.lent_to(customer, borrower).lent,
            cap: self.cap_of(borrower, customer, &granted),
            unmet,
        })
    }

    /// Records what a borrower has returned; a total that is not larger is ignored.
    fn record_return(&mut self, borrower: CellNumber, request: &ShareRequest) {
        let known = self.state.lent_to(&request.customer, borrower);
        let total = request.totals.returned;
        if total != known.returned && total.reaches(&known.returned) {
            let customer = request.customer.clone();
            self.propose_checked(CellTransition::ShareRegained {
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
        assert!(
            share.fits_in(&left),
            "{share:?} would be lent of the quota of {customer}, but only {left:?} is left"
        );
        let known = self.state.lent_to(customer, borrower);
        let total = known.lent.plus(share);
        self.propose_checked(CellTransition::ShareLent {
            customer: customer.clone(),
            borrower,
            total,
        });
        let quota = self.quota_of(customer);
        assert!(
            self.state
                .lent_out(customer)
                .fits_in(&quota.at_least(share)),
            "more than the quota of {customer} is lent: {quota:?}"
        );
    }

    /// The share that may be lent now. While other cells wait, a borrower gets at most an
    /// equal part, or, if it has waited longest, enough for one task.
    fn grantable(
        &self,
        borrower: CellNumber,
        request: &ShareRequest,
        used: &ResourceSize,
    ) -> ResourceSize {
        let customer = &request.customer;
        let quota = self.quota_of(customer);
        let free = quota.minus(&self.state.lent_out(customer)).minus(used);
        if !request.unit.fits_in(&free) {
            return ResourceSize::default();
        }
        let queue = &self.phase.shares.unmet;
        let granted = request.wanted.at_most(&free);
        if !queue.others_wait(customer, borrower) {
            return granted;
        }
        let held = self.state.lent_to(customer, borrower).held();
        let part = self.equal_part(customer, &quota).minus(&held);
        if request.unit.fits_in(&part) {
            return granted.at_most(&part);
        }
        if queue.is_first(customer, borrower) {
            return request.unit;
        }
        ResourceSize::default()
    }

    /// The most that a borrower may use: an equal part while others wait or more is lent
    /// than the quota, but at least what it holds when it was just lent a share.
    fn cap_of(
        &self,
        borrower: CellNumber,
        customer: &CustomerName,
        granted: &ResourceSize,
    ) -> Option<ResourceSize> {
        let quota = self.quota_of(customer);
        let waited_for = self.phase.shares.unmet.others_wait(customer, borrower);
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

    /// The share that the lender itself may use.
    fn lender_share(&self, customer: &CustomerName, quota: &ResourceSize) -> ResourceSize {
        let left = quota.minus(&self.state.lent_out(customer));
        let queue = &self.phase.shares.unmet;
        if !queue.others_wait(customer, self.cell) || queue.is_first(customer, self.cell) {
            return left;
        }
        left.at_most(&self.equal_part(customer, quota))
    }

    /// An equal part for each cell that holds some of the quota or waits for it.
    fn equal_part(&self, customer: &CustomerName, quota: &ResourceSize) -> ResourceSize {
        let holding = self.state.lent(customer);
        let holding = holding.filter(|(_, totals)| totals.held() != ResourceSize::default());
        let mut cells: Vec<CellNumber> = holding.map(|(borrower, _)| borrower).collect();
        cells.extend(self.phase.shares.unmet.waiting(customer));
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
