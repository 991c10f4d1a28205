//! Tests of answers that cross the link between regions.

use sapphirestile_core::MonoTime;
use sapphirestile_routing::AnswerSize;
use sapphirestile_routing::LinkBudget;
use sapphirestile_routing::RequestPriority;
use test_case::test_case;

/// The link transmits 1,000 bytes in 2 ms.
const BITS_PER_SECOND: u64 = 4_000_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn count_admitted(budget: &LinkBudget, bytes: u64, priority: RequestPriority) -> usize {
    let attempts = 0..1_000;
    attempts
        .filter(|_| budget.admit_answer(bytes, priority, at(0)))
        .count()
}

#[test_case(RequestPriority::Bulk, 5)]
#[test_case(RequestPriority::Standard, 25)]
#[test_case(RequestPriority::Interactive, 100)]
fn answers_have_the_backlog_limits_of_their_priorities(priority: RequestPriority, admitted: usize) {
    let budget = LinkBudget::new(BITS_PER_SECOND);
    assert_eq!(count_admitted(&budget, 1_000, priority), admitted);
}

#[test]
fn bulk_answers_are_refused_behind_interactive_ones() {
    let budget = LinkBudget::new(BITS_PER_SECOND);
    assert!(budget.admit_answer(30_000, RequestPriority::Interactive, at(0)));
    assert_eq!(count_admitted(&budget, 1, RequestPriority::Bulk), 0);
    assert!(budget.admit_answer(1_000, RequestPriority::Interactive, at(0)));
    assert!(!budget.admit_answer(1_000, RequestPriority::Bulk, at(53)));
    assert!(budget.admit_answer(1_000, RequestPriority::Bulk, at(54)));
}

#[test]
fn an_idle_link_admits_one_answer_of_any_size() {
    let budget = LinkBudget::new(BITS_PER_SECOND);
    assert_eq!(count_admitted(&budget, 1_000_000, RequestPriority::Bulk), 1);
    assert!(!budget.admit_answer(1, RequestPriority::Interactive, at(1_700)));
    assert!(budget.admit_answer(1_000_000, RequestPriority::Bulk, at(2_000)));
}

#[test]
fn the_actual_size_replaces_the_expected_size() {
    let budget = LinkBudget::new(BITS_PER_SECOND);
    assert!(budget.admit_answer(1_000, RequestPriority::Bulk, at(0)));
    // 50,000 bytes arrived 500 ms later, so the link is busy for 98 ms from then on.
    budget.settle(1_000, 50_000, at(500));
    assert!(!budget.admit_answer(1_000, RequestPriority::Bulk, at(589)));
    assert!(budget.admit_answer(1_000, RequestPriority::Bulk, at(590)));
}

#[test]
fn a_missing_answer_is_removed_from_the_backlog() {
    let budget = LinkBudget::new(BITS_PER_SECOND);
    assert!(budget.admit_answer(80_000, RequestPriority::Interactive, at(0)));
    assert!(!budget.admit_answer(1_000, RequestPriority::Standard, at(0)));
    budget.settle(80_000, 0, at(0));
    assert!(budget.admit_answer(1_000, RequestPriority::Standard, at(0)));
}

#[test]
fn the_expected_size_follows_the_latest_answers() {
    let size = AnswerSize::default();
    size.observe(16_000);
    let sizes = [800, 800, 800].map(|bytes| {
        size.observe(bytes);
        size.bytes()
    });
    assert_eq!(sizes, [14_100, 12_438, 10_984]);
    (0..200).for_each(|_| size.observe(800));
    assert!(size.bytes() < 808, "{}", size.bytes());
}
