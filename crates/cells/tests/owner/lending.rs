//! Shares of a quota that a cell lends.

use crate::owner_bench::sighting;
use crate::owner_bench::starts;
use crate::share_bench::THERE;
use crate::share_bench::bench;
use crate::share_bench::counter;
use crate::share_bench::customer;
use crate::share_bench::lend;
use crate::share_bench::room_of;
use crate::share_bench::set_quota;
use crate::share_bench::totals;
use crate::share_bench::whole;
use sapphirestile_cells::ShareTotals;
use sapphirestile_cells::SightedPhase;
use sapphirestile_core::CellNumber;

#[test]
fn a_lender_tells_of_a_share_with_the_entry_that_lends_it() {
    let mut bench = bench(true, 6);
    let answer = lend(&mut bench, ShareTotals::default(), 4);
    assert_eq!(answer.lent, counter(4));
    assert!(bench.owner.last_proposed() > bench.owner.sequence());
    bench.commit();
    assert_eq!(bench.journal.lent_out(&customer()), room_of(4));
}

#[test]
fn a_repeated_ask_is_lent_to_once() {
    let mut bench = bench(true, 6);
    lend(&mut bench, ShareTotals::default(), 4);
    let again = lend(&mut bench, ShareTotals::default(), 4);
    assert_eq!((again.lent, again.unmet), (counter(4), false));
    let more = lend(&mut bench, totals(4, 0), 4);
    assert_eq!(more.lent, counter(6), "what is left is lent");
    let unmet = lend(&mut bench, totals(6, 0), 1);
    assert_eq!((unmet.lent, unmet.unmet), (counter(6), true));
}

#[test]
fn a_late_report_takes_no_return_back() {
    let mut bench = bench(true, 6);
    lend(&mut bench, ShareTotals::default(), 4);
    lend(&mut bench, totals(4, 3), 0);
    lend(&mut bench, totals(4, 1), 0);
    bench.commit();
    let known = bench.journal.lent_to(&customer(), THERE);
    assert_eq!(known, totals(4, 3));
}

#[test]
#[should_panic(expected = "a change that was just checked does not fit")]
fn more_is_never_returned_than_was_lent() {
    let mut bench = bench(true, 6);
    lend(&mut bench, ShareTotals::default(), 4);
    lend(&mut bench, totals(4, 5), 0);
}

#[test]
fn a_lender_starts_what_it_has_not_lent_and_lends_what_it_does_not_use() {
    let mut bench = bench(true, 6);
    lend(&mut bench, ShareTotals::default(), 4);
    bench.submit("spins", 3);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 2);
    let unmet = lend(&mut bench, totals(4, 0), 1);
    assert!(unmet.unmet);
    lend(&mut bench, totals(4, 2), 0);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 1);
    let more = lend(&mut bench, totals(4, 2), 3);
    assert_eq!(more.lent, counter(5), "three are used and two are lent");
}

#[test]
fn a_lender_stops_at_an_equal_part_while_a_borrower_waits() {
    let mut bench = bench(true, 6);
    bench.submit("spins", 1);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 1);
    assert!(whole(&mut bench, THERE).unmet);
    bench.submit("looms", 6);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 2, "three of six are used");
}

#[test]
fn tasks_larger_than_an_equal_part_take_turns() {
    let (first, second) = (THERE, CellNumber::new(2));
    let mut bench = bench(true, 6);
    bench.submit("spins", 1);
    bench.plan();
    bench.commit();
    assert!(whole(&mut bench, first).unmet);
    bench.wait(10);
    assert!(whole(&mut bench, second).unmet);
    bench.owner.start_answered("w1");
    bench.renew(&[("w1", sighting("spins", 1, SightedPhase::Finished, 90_000))]);
    assert!(whole(&mut bench, second).unmet, "another has waited longer");
    let lent = whole(&mut bench, first);
    assert_eq!(lent.lent, counter(6));
    assert_eq!(lent.cap, Some(room_of(6)), "what was just lent may be used");
}

#[test]
fn a_quota_that_was_cut_is_called_back() {
    let mut bench = bench(true, 6);
    lend(&mut bench, ShareTotals::default(), 6);
    set_quota(&mut bench, 2);
    let answer = lend(&mut bench, totals(6, 0), 0);
    assert_eq!(answer.cap, Some(room_of(1)), "two cells share two");
    bench.submit("spins", 1);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 0);
    lend(&mut bench, totals(6, 5), 0);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 1);
}
