//! Lending of shares of a quota.

use crate::owner_harness::attempt_report;
use crate::owner_harness::starts;
use crate::share_harness::OTHER_CELL;
use crate::share_harness::counter;
use crate::share_harness::customer;
use crate::share_harness::harness;
use crate::share_harness::lend;
use crate::share_harness::request_whole_quota;
use crate::share_harness::set_quota;
use crate::share_harness::size_of_tasks;
use crate::share_harness::totals;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::ShareTotals;
use sapphirestile_core::CellNumber;

#[test]
fn a_share_is_answered_with_the_entry_that_lends_it() {
    let mut harness = harness(true, 6);
    let answer = lend(&mut harness, ShareTotals::default(), 4);
    assert_eq!(answer.lent, counter(4));
    assert!(harness.owner.last_proposed() > harness.owner.sequence());
    harness.commit();
    assert_eq!(harness.journal.lent_out(&customer()), size_of_tasks(4));
}

#[test]
fn a_repeated_request_is_lent_to_once() {
    let mut harness = harness(true, 6);
    lend(&mut harness, ShareTotals::default(), 4);
    let again = lend(&mut harness, ShareTotals::default(), 4);
    assert_eq!((again.lent, again.unmet), (counter(4), false));
    let more = lend(&mut harness, totals(4, 0), 4);
    assert_eq!(more.lent, counter(6), "what is left is lent");
    let unmet = lend(&mut harness, totals(6, 0), 1);
    assert_eq!((unmet.lent, unmet.unmet), (counter(6), true));
}

#[test]
fn a_late_report_does_not_undo_a_return() {
    let mut harness = harness(true, 6);
    lend(&mut harness, ShareTotals::default(), 4);
    lend(&mut harness, totals(4, 3), 0);
    lend(&mut harness, totals(4, 1), 0);
    harness.commit();
    let known = harness.journal.lent_to(&customer(), OTHER_CELL);
    assert_eq!(known, totals(4, 3));
}

#[test]
#[should_panic(expected = "a transition that was checked before cannot be applied")]
fn returning_more_than_was_lent_panics() {
    let mut harness = harness(true, 6);
    lend(&mut harness, ShareTotals::default(), 4);
    lend(&mut harness, totals(4, 5), 0);
}

#[test]
fn a_lender_uses_what_is_not_lent_and_lends_what_is_not_used() {
    let mut harness = harness(true, 6);
    lend(&mut harness, ShareTotals::default(), 4);
    harness.submit("spins", 3);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 2);
    let unmet = lend(&mut harness, totals(4, 0), 1);
    assert!(unmet.unmet);
    lend(&mut harness, totals(4, 2), 0);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 1);
    let more = lend(&mut harness, totals(4, 2), 3);
    assert_eq!(more.lent, counter(5), "three are used and two are lent");
}

#[test]
fn a_lender_uses_at_most_an_equal_part_while_a_borrower_waits() {
    let mut harness = harness(true, 6);
    harness.submit("spins", 1);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 1);
    assert!(request_whole_quota(&mut harness, OTHER_CELL).unmet);
    harness.submit("looms", 6);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 2, "three of six are used");
}

#[test]
fn a_task_larger_than_an_equal_part_is_lent_for_in_order_of_waiting() {
    let (first, second) = (OTHER_CELL, CellNumber::new(2));
    let mut harness = harness(true, 6);
    harness.submit("spins", 1);
    harness.plan();
    harness.commit();
    assert!(request_whole_quota(&mut harness, first).unmet);
    harness.wait(10);
    assert!(request_whole_quota(&mut harness, second).unmet);
    harness.owner.start_answered("w1");
    harness.renew(&[(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Finished, 90_000),
    )]);
    assert!(
        request_whole_quota(&mut harness, second).unmet,
        "another has waited longer"
    );
    let lent = request_whole_quota(&mut harness, first);
    assert_eq!(lent.lent, counter(6));
    assert_eq!(
        lent.cap,
        Some(size_of_tasks(6)),
        "what was just lent may be used"
    );
}

#[test]
fn a_reduced_quota_caps_its_borrowers() {
    let mut harness = harness(true, 6);
    lend(&mut harness, ShareTotals::default(), 6);
    set_quota(&mut harness, 2);
    let answer = lend(&mut harness, totals(6, 0), 0);
    assert_eq!(
        answer.cap,
        Some(size_of_tasks(1)),
        "two cells share a quota of two tasks"
    );
    harness.submit("spins", 1);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 0);
    lend(&mut harness, totals(6, 5), 0);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 1);
}
