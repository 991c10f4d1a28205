//! Scenes of answers that cross the link between regions.

use sapphirestile_core::MonoTime;
use sapphirestile_routing::AnswerEstimate;
use sapphirestile_routing::LinkBudget;
use sapphirestile_routing::RequestPriority;
use test_case::test_case;

/// 1,000 bytes take 2 ms.
const BITS_PER_SECOND: u64 = 4_000_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn answers_admitted(budget: &LinkBudget, bytes: u64, priority: RequestPriority) -> usize {
    let tries = 0..1_000;
    tries
        .filter(|_| budget.admit_answer(bytes, priority, at(0)))
        .count()
}

#[test_case(RequestPriority::Bulk, 5)]
#[test_case(RequestPriority::Standard, 25)]
#[test_case(RequestPriority::Interactive, 100)]
fn answers_join_as_long_a_backlog_as_requests_do(priority: RequestPriority, admitted: usize) {
    let budget = LinkBudget::new(BITS_PER_SECOND);
    assert_eq!(answers_admitted(&budget, 1_000, priority), admitted);
}

#[test]
fn bulk_answers_wait_behind_those_of_callers_who_wait() {
    let budget = LinkBudget::new(BITS_PER_SECOND);
    assert!(budget.admit_answer(30_000, RequestPriority::Interactive, at(0)));
    assert_eq!(answers_admitted(&budget, 1, RequestPriority::Bulk), 0);
    assert!(budget.admit_answer(1_000, RequestPriority::Interactive, at(0)));
    assert!(!budget.admit_answer(1_000, RequestPriority::Bulk, at(53)));
    assert!(budget.admit_answer(1_000, RequestPriority::Bulk, at(54)));
}

#[test]
fn an_idle_link_takes_one_answer_of_any_size() {
    let budget = LinkBudget::new(BITS_PER_SECOND);
    assert_eq!(
        answers_admitted(&budget, 1_000_000, RequestPriority::Bulk),
        1
    );
    assert!(!budget.admit_answer(1, RequestPriority::Interactive, at(1_700)));
    assert!(budget.admit_answer(1_000_000, RequestPriority::Bulk, at(2_000)));
}

#[test]
fn what_came_replaces_what_was_expected() {
    let budget = LinkBudget::new(BITS_PER_SECOND);
    assert!(budget.admit_answer(1_000, RequestPriority::Bulk, at(0)));
    // 50,000 bytes came 500 ms later: the link is busy for 98 ms from then on.
    budget.settle(1_000, 50_000, at(500));
    assert!(!budget.admit_answer(1_000, RequestPriority::Bulk, at(589)));
    assert!(budget.admit_answer(1_000, RequestPriority::Bulk, at(590)));
}

#[test]
fn an_answer_that_never_comes_gives_its_bytes_back() {
    let budget = LinkBudget::new(BITS_PER_SECOND);
    assert!(budget.admit_answer(80_000, RequestPriority::Interactive, at(0)));
    assert!(!budget.admit_answer(1_000, RequestPriority::Standard, at(0)));
    budget.settle(80_000, 0, at(0));
    assert!(budget.admit_answer(1_000, RequestPriority::Standard, at(0)));
}

#[test]
fn the_estimate_follows_the_latest_answers() {
    let estimate = AnswerEstimate::default();
    estimate.observe(16_000);
    let sizes = [800, 800, 800].map(|bytes| {
        estimate.observe(bytes);
        estimate.bytes()
    });
    assert_eq!(sizes, [14_100, 12_438, 10_984]);
    (0..200).for_each(|_| estimate.observe(800));
    assert!(estimate.bytes() < 808, "{}", estimate.bytes());
}
