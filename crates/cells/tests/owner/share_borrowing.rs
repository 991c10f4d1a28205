//! Borrowing of shares of a quota.

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::array_spec;
use crate::owner_harness::starts;
use crate::share_harness::cells;
use crate::share_harness::customer;
use crate::share_harness::deliver_lent;
use crate::share_harness::deliver_unmet;
use crate::share_harness::harness;
use crate::share_harness::next_request;
use crate::share_harness::set_quota;
use crate::share_harness::size_of_tasks;
use crate::share_harness::totals;
use sapphirestile_cells::ShareCounter;
use sapphirestile_core::ResourceSize;

#[test]
fn a_borrower_starts_as_many_tasks_as_its_share_holds() {
    let mut harness = harness(false, 6);
    harness.submit("spins", 6);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 0);
    let first = next_request(&mut harness).unwrap();
    assert_eq!(
        (first.wanted, first.unit),
        (size_of_tasks(6), size_of_tasks(1))
    );
    deliver_lent(&mut harness, 2, None);
    deliver_lent(&mut harness, 2, None);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 2);
    deliver_lent(&mut harness, 1, None);
    harness.plan();
    assert_eq!(harness.take(), [], "a late answer is ignored");
    assert_eq!(
        harness.journal.borrowed().get(&customer()),
        Some(&totals(2, 0))
    );
}

#[test]
fn the_next_owner_borrows_what_is_in_the_journal() {
    let mut harness = harness(false, 6);
    deliver_lent(&mut harness, 2, None);
    harness.commit();
    deliver_lent(&mut harness, 5, None);
    let mut next = OwnerHarness::adopt(harness.journal.clone(), 2);
    next.owner.set_cells(cells(false));
    set_quota(&mut next, 6);
    next.renew(&[]);
    next.submit("spins", 6);
    next.plan();
    assert_eq!(starts(next.commit()).len(), 2);
    assert_eq!(next_request(&mut next).unwrap().totals, totals(2, 0));
}

#[test]
fn a_return_is_reported_only_after_it_is_in_the_journal() {
    let mut harness = harness(false, 6);
    deliver_lent(&mut harness, 2, None);
    harness.commit();
    next_request(&mut harness);
    harness.wait(5_000);
    harness.owner.due_share_reports(harness.now);
    harness.wait(5_000);
    let early = next_request(&mut harness);
    let returned = early.map(|request| request.totals.returned);
    assert_eq!(returned.unwrap_or_default(), ShareCounter::default());
    harness.commit();
    harness.wait(1_000);
    assert_eq!(next_request(&mut harness).unwrap().totals, totals(2, 2));
}

#[test]
fn a_capped_borrower_starts_up_to_the_cap_and_returns_the_rest() {
    let mut harness = harness(false, 6);
    deliver_lent(&mut harness, 4, Some(1));
    harness.submit("spins", 6);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 1);
    harness.wait(1_000);
    harness.owner.due_share_reports(harness.now);
    harness.commit();
    assert_eq!(
        harness.journal.borrowed().get(&customer()),
        Some(&totals(4, 3))
    );
}

/// Shares too small for a large task, spread over several cells, could keep it waiting
/// forever.
#[test]
fn a_share_too_small_for_the_waiting_task_is_returned_when_no_more_is_lent() {
    let mut harness = harness(false, 6);
    let mut large = array_spec("spins", 2);
    large.size = large.size.times(2);
    harness.owner.submit_job(&large).unwrap();
    deliver_lent(&mut harness, 3, None);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 1);
    harness.wait(1_000);
    harness.owner.due_share_reports(harness.now);
    assert_eq!(harness.take(), [], "the lender may still lend more");
    deliver_unmet(&mut harness, 3);
    harness.wait(1_000);
    harness.owner.due_share_reports(harness.now);
    harness.commit();
    assert_eq!(
        harness.journal.borrowed().get(&customer()),
        Some(&totals(3, 1))
    );
}

/// A share can be lent to a repeated request although the first answer was lost. A
/// borrower that needs nothing learns of it by its regular report.
#[test]
fn a_borrower_without_demand_reports_once_a_minute_and_writes_nothing() {
    let mut harness = harness(false, 6);
    assert!(
        next_request(&mut harness).is_some(),
        "a new owner reports at once"
    );
    for _ in 0..59 {
        harness.wait(1_000);
        assert_eq!(next_request(&mut harness), None);
    }
    harness.wait(1_000);
    assert_eq!(
        next_request(&mut harness).unwrap().wanted,
        ResourceSize::default()
    );
    assert_eq!(harness.take(), []);
}
