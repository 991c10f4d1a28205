//! Shares of a quota that a cell borrows.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::order;
use crate::owner_bench::starts;
use crate::share_bench::bench;
use crate::share_bench::cells;
use crate::share_bench::customer;
use crate::share_bench::room_of;
use crate::share_bench::set_quota;
use crate::share_bench::take;
use crate::share_bench::take_unmet;
use crate::share_bench::told;
use crate::share_bench::totals;
use sapphirestile_cells::ShareCounter;
use sapphirestile_core::ResourceSize;

#[test]
fn a_borrower_starts_what_was_lent_to_it() {
    let mut bench = bench(false, 6);
    bench.submit("spins", 6);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 0);
    let first = told(&mut bench).unwrap();
    assert_eq!((first.wanted, first.unit), (room_of(6), room_of(1)));
    take(&mut bench, 2, None);
    take(&mut bench, 2, None);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 2);
    take(&mut bench, 1, None);
    bench.plan();
    assert_eq!(bench.take(), [], "a late answer changes nothing");
    assert_eq!(
        bench.journal.borrowed().get(&customer()),
        Some(&totals(2, 0))
    );
}

#[test]
fn the_next_owner_borrows_what_the_journal_says() {
    let mut bench = bench(false, 6);
    take(&mut bench, 2, None);
    bench.commit();
    take(&mut bench, 5, None);
    let mut next = OwnerBench::adopt(bench.journal.clone(), 2);
    next.owner.set_cells(cells(false));
    set_quota(&mut next, 6);
    next.renew(&[]);
    next.submit("spins", 6);
    next.plan();
    assert_eq!(starts(next.commit()).len(), 2);
    assert_eq!(told(&mut next).unwrap().totals, totals(2, 0));
}

#[test]
fn a_return_is_told_only_once_it_is_in_the_journal() {
    let mut bench = bench(false, 6);
    take(&mut bench, 2, None);
    bench.commit();
    told(&mut bench);
    bench.wait(5_000);
    bench.owner.due_shares(bench.now);
    bench.wait(5_000);
    let early = told(&mut bench);
    let returned = early.map(|ask| ask.totals.returned);
    assert_eq!(returned.unwrap_or_default(), ShareCounter::default());
    bench.commit();
    bench.wait(1_000);
    assert_eq!(told(&mut bench).unwrap().totals, totals(2, 2));
}

#[test]
fn a_capped_borrower_starts_no_more_and_returns_the_rest() {
    let mut bench = bench(false, 6);
    take(&mut bench, 4, Some(1));
    bench.submit("spins", 6);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 1);
    bench.wait(1_000);
    bench.owner.due_shares(bench.now);
    bench.commit();
    assert_eq!(
        bench.journal.borrowed().get(&customer()),
        Some(&totals(4, 3))
    );
}

/// Pieces in several cells could keep a large task waiting for good.
#[test]
fn a_piece_too_small_for_a_task_that_waits_in_vain_is_returned() {
    let mut bench = bench(false, 6);
    let mut large = order("spins", 2);
    large.size = large.size.times(2);
    bench.owner.submit_job(&large).unwrap();
    take(&mut bench, 3, None);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 1);
    bench.wait(1_000);
    bench.owner.due_shares(bench.now);
    assert_eq!(bench.take(), [], "more may be lent yet");
    take_unmet(&mut bench, 3);
    bench.wait(1_000);
    bench.owner.due_shares(bench.now);
    bench.commit();
    assert_eq!(
        bench.journal.borrowed().get(&customer()),
        Some(&totals(3, 1))
    );
}

/// What was lent to a repeated ask, whose answer was lost, is learnt of by a
/// borrower that wants nothing.
#[test]
fn a_borrower_at_rest_reports_now_and_then_and_writes_nothing() {
    let mut bench = bench(false, 6);
    assert!(told(&mut bench).is_some(), "a new owner asks at once");
    for _ in 0..59 {
        bench.wait(1_000);
        assert_eq!(told(&mut bench), None);
    }
    bench.wait(1_000);
    assert_eq!(told(&mut bench).unwrap().wanted, ResourceSize::default());
    assert_eq!(bench.take(), []);
}
