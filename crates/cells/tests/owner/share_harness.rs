//! Helpers for tests of lending and borrowing.

use crate::owner_harness::OwnerHarness;
use sapphirestile_cells::CellMap;
use sapphirestile_cells::LenderReport;
use sapphirestile_cells::ShareAnswer;
use sapphirestile_cells::ShareCounter;
use sapphirestile_cells::ShareReport;
use sapphirestile_cells::ShareRequest;
use sapphirestile_cells::ShareTotals;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;

/// The cell that the harness owns.
pub const OWN_CELL: CellNumber = CellNumber::new(0);
pub const OTHER_CELL: CellNumber = CellNumber::new(1);

/// The resources allocated to `tasks` tasks of the harness.
pub fn size_of_tasks(tasks: u32) -> ResourceSize {
    let task = ResourceSize {
        cpu_milli: 1_000,
        memory_mb: 1_500,
        accelerators: 0,
    };
    task.times(tasks)
}

pub fn customer() -> CustomerName {
    CustomerName::try_from("tailors").unwrap()
}

/// A map in which the harness's own cell lends the quota, or does not.
pub fn cells(lends: bool) -> CellMap {
    let mut maps = (2..20).map(CellMap::new);
    let fits = |map: &CellMap| (map.lender_of("tailors") == OWN_CELL) == lends;
    maps.find(fits).unwrap()
}

pub fn set_quota(harness: &mut OwnerHarness, tasks: u32) {
    let entry = CustomerEntry {
        quota: size_of_tasks(tasks),
        priority: 100,
    };
    let customers = [(customer(), entry)].into_iter().collect();
    harness.owner.set_customers(&customers);
}

/// A harness whose cell lends the quota or borrows it; `quota` is in tasks.
pub fn harness(lends: bool, quota: u32) -> OwnerHarness {
    let mut harness = OwnerHarness::new();
    harness.owner.set_cells(cells(lends));
    set_quota(&mut harness, quota);
    harness.renew(&[]);
    harness
}

/// The other cell's report, which wants a share for `wanted` more tasks.
pub fn report_of(totals: ShareTotals, wanted: u32) -> ShareReport {
    let request = ShareRequest {
        customer: customer(),
        totals,
        wanted: size_of_tasks(wanted),
        unit: size_of_tasks(wanted.min(1)),
    };
    ShareReport {
        borrower: OTHER_CELL,
        requests: vec![request],
    }
}

/// Delivers the other cell's report, and returns the answer.
pub fn lend(harness: &mut OwnerHarness, totals: ShareTotals, wanted: u32) -> ShareAnswer {
    let report = report_of(totals, wanted);
    let mut answers = harness.owner.lend_shares(&report, harness.now);
    answers.remove(0)
}

/// Requests the whole quota for a cell that can use nothing less.
pub fn request_whole_quota(harness: &mut OwnerHarness, borrower: CellNumber) -> ShareAnswer {
    let mut report = report_of(ShareTotals::default(), 6);
    report.borrower = borrower;
    report.requests[0].unit = size_of_tasks(6);
    let mut answers = harness.owner.lend_shares(&report, harness.now);
    answers.remove(0)
}

pub fn counter(tasks: u32) -> ShareCounter {
    ShareCounter::default().plus(&size_of_tasks(tasks))
}

pub fn totals(lent: u32, returned: u32) -> ShareTotals {
    ShareTotals {
        lent: counter(lent),
        returned: counter(returned),
    }
}

/// Delivers an answer with the total `lent` so far and a cap, both in tasks.
pub fn deliver_lent(harness: &mut OwnerHarness, lent: u32, cap: Option<u32>) {
    deliver_answer(harness, lent, cap, false);
}

/// Delivers an answer that lends no more than `lent` although more is wanted.
pub fn deliver_unmet(harness: &mut OwnerHarness, lent: u32) {
    deliver_answer(harness, lent, None, true);
}

fn deliver_answer(harness: &mut OwnerHarness, lent: u32, cap: Option<u32>, unmet: bool) {
    let lender = cells(false).lender_of("tailors");
    let answer = ShareAnswer {
        customer: customer(),
        lent: counter(lent),
        cap: cap.map(size_of_tasks),
        unmet,
    };
    harness
        .owner
        .apply_share_answers(lender, &[answer], harness.now);
}

/// The only request that is due, if any; its report is answered without new totals.
pub fn next_request(harness: &mut OwnerHarness) -> Option<ShareRequest> {
    let mut reports: Vec<LenderReport> = harness.owner.due_share_reports(harness.now);
    let due = reports.pop()?;
    harness
        .owner
        .apply_share_answers(due.lender, &[], harness.now);
    due.report.requests.into_iter().next()
}
