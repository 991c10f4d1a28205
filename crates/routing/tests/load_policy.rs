//! Tests of ejection, concurrency limits, waiting queues and budgets.

use std::sync::Arc;

use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_routing::ConcurrencyLimit;
use sapphirestile_routing::EjectionPolicy;
use sapphirestile_routing::LinkBudget;
use sapphirestile_routing::QueueOutcome;
use sapphirestile_routing::RequestPriority;
use sapphirestile_routing::RetryBudget;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_routing::RunnerRow;
use sapphirestile_routing::RunnerState;
use sapphirestile_routing::WaitEstimate;
use sapphirestile_routing::WaitingEntry;
use sapphirestile_routing::WaitingQueue;

const ESTIMATE: WaitEstimate = WaitEstimate {
    slots: 2,
    service_us: 10_000,
};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn row(runner: &str, zone: &str, latency_us: u64) -> RunnerRow {
    let gauge = Arc::new(RunnerGauge::new());
    gauge.record_answer(latency_us);
    RunnerRow {
        runner: RunnerName::try_from(runner).unwrap(),
        zone: ZoneName::try_from(zone).unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        service: ServiceName::try_from("sizing").unwrap(),
        leaving: false,
        gauge,
    }
}

/// Ten runners: six in zone `a` and four in the remote zone `c`, with a higher latency.
fn ten_rows() -> Vec<RunnerRow> {
    let near = (0..6).map(|index| row(&format!("a-{index}"), "a", 5_000));
    let far = (0..4).map(|index| row(&format!("c-{index}"), "c", 60_000));
    near.chain(far).collect()
}

fn runners_in_state(rows: &[RunnerRow], state: RunnerState) -> Vec<&str> {
    let has = |row: &&RunnerRow| row.gauge.state() == state;
    let rows = rows.iter().filter(has);
    rows.map(|row| row.runner.as_str()).collect()
}

fn evaluate(policy: &mut EjectionPolicy, rows: &[RunnerRow], millis: u64) {
    policy.evaluate(&rows.iter().collect::<Vec<_>>(), at(millis));
}

fn fail(row: &RunnerRow, times: u32) {
    (0..times).for_each(|_| row.gauge.record_failure());
}

#[test]
fn slow_and_failing_runners_are_ejected_but_remote_ones_are_not() {
    let rows = ten_rows();
    rows[1].gauge.reset_observations(90_000);
    fail(&rows[7], 5);
    fail(&rows[8], 4);
    let mut policy = EjectionPolicy::default();
    evaluate(&mut policy, &rows, 0);
    assert_eq!(
        runners_in_state(&rows, RunnerState::Ejected),
        ["a-1", "c-1"]
    );
    assert!(rows[1].gauge.is_ejected() && !rows[2].gauge.is_ejected());
}

#[test]
fn at_most_thirty_percent_are_ejected_and_the_worst_first() {
    let rows = ten_rows();
    rows[0].gauge.reset_observations(99_000);
    for row in &rows[6..] {
        fail(row, 9);
    }
    let mut policy = EjectionPolicy::default();
    evaluate(&mut policy, &rows, 0);
    assert_eq!(policy.ejected(), 3);
    assert_eq!(runners_in_state(&rows[..6], RunnerState::Ejected).len(), 0);
}

#[test]
fn an_ejected_runner_is_readmitted_after_a_trial() {
    let rows = ten_rows();
    let mut policy = EjectionPolicy::default();
    fail(&rows[2], 5);
    evaluate(&mut policy, &rows, 0);
    evaluate(&mut policy, &rows, 4_999);
    assert_eq!(runners_in_state(&rows, RunnerState::Ejected), ["a-2"]);
    evaluate(&mut policy, &rows, 5_000);
    assert_eq!(runners_in_state(&rows, RunnerState::Trial), ["a-2"]);
    (0..5).for_each(|_| rows[2].gauge.record_answer(5_000));
    evaluate(&mut policy, &rows, 6_000);
    assert_eq!(runners_in_state(&rows, RunnerState::Open).len(), 10);
    assert_eq!(policy.ejected(), 0);
}

#[test]
fn the_latency_of_an_idle_runner_decays_and_that_of_a_busy_one_does_not() {
    let rows = ten_rows();
    rows[0].gauge.reset_observations(14_000);
    rows[1].gauge.reset_observations(14_000);
    let mut policy = EjectionPolicy::default();
    evaluate(&mut policy, &rows, 0);
    for second in 1..=20 {
        rows[1].gauge.record_answer(14_000);
        evaluate(&mut policy, &rows, second * 1_000);
    }
    assert!(rows[0].gauge.latency_us() < 6_000);
    assert_eq!(rows[1].gauge.latency_us(), 14_000);
    assert_eq!(policy.ejected(), 0);
}

#[test]
fn a_failed_trial_doubles_the_ejection_time() {
    let rows = ten_rows();
    let mut policy = EjectionPolicy::default();
    fail(&rows[2], 5);
    evaluate(&mut policy, &rows, 0);
    evaluate(&mut policy, &rows, 5_000);
    fail(&rows[2], 1);
    evaluate(&mut policy, &rows, 6_000);
    evaluate(&mut policy, &rows, 15_999);
    assert_eq!(runners_in_state(&rows, RunnerState::Ejected), ["a-2"]);
    evaluate(&mut policy, &rows, 16_000);
    assert_eq!(runners_in_state(&rows, RunnerState::Trial), ["a-2"]);
}

#[test]
fn the_limit_shrinks_at_high_latency_and_grows_when_fully_used() {
    let limit = ConcurrencyLimit::new(10, 12);
    limit.adjust(5_000);
    assert_eq!(limit.limit(), 10);
    assert_eq!((0..20).filter(|_| limit.try_acquire()).count(), 10);
    (0..5).for_each(|_| {
        limit.adjust(5_000);
        assert!(limit.limit() == 12 || limit.try_acquire());
    });
    assert_eq!(limit.limit(), 12);
    limit.adjust(30_000);
    limit.adjust(30_000);
    assert_eq!(limit.limit(), 9);
    assert!(!limit.try_acquire());
}

fn entry(priority: RequestPriority, deadline: u64, item: u32) -> WaitingEntry<u32> {
    WaitingEntry {
        priority,
        deadline: at(deadline),
        item,
    }
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_not_queued() {
    let mut queue = WaitingQueue::new(100);
    // A request takes 5 ms for itself and each one ahead, and 10 ms to run.
    let pushed = (0..10).map(|item| {
        let entry = entry(RequestPriority::Standard, 30, item);
        queue.push(entry, &ESTIMATE, at(0))
    });
    let queued = pushed.filter(|outcome| *outcome == QueueOutcome::Queued);
    assert_eq!(queued.count(), 4);
    let late = entry(RequestPriority::Standard, 30, 9);
    let refused = QueueOutcome::Refused(late.clone(), RouteRefusal::DeadlinePassed);
    assert_eq!(queue.push(late, &ESTIMATE, at(0)), refused);
    assert_eq!(queue.remove_late(10_000, at(21)).len(), 4);
    assert!(queue.is_empty());
}

#[test]
fn a_bulk_request_is_shed_for_an_interactive_one_and_never_the_reverse() {
    let mut queue = WaitingQueue::new(2);
    let bulk = entry(RequestPriority::Bulk, 900, 1);
    let interactive = entry(RequestPriority::Interactive, 900, 2);
    for first in [entry(RequestPriority::Standard, 800, 0), bulk.clone()] {
        assert_eq!(queue.push(first, &ESTIMATE, at(0)), QueueOutcome::Queued);
    }
    assert_eq!(
        queue.push(interactive, &ESTIMATE, at(0)),
        QueueOutcome::Shed(bulk.clone())
    );
    let refused = QueueOutcome::Refused(bulk.clone(), RouteRefusal::Shed);
    assert_eq!(queue.push(bulk, &ESTIMATE, at(0)), refused);
    let equal = entry(RequestPriority::Standard, 700, 3);
    let refused = QueueOutcome::Refused(equal.clone(), RouteRefusal::Shed);
    assert_eq!(queue.push(equal, &ESTIMATE, at(0)), refused);
    let order = std::iter::from_fn(|| queue.pop()).map(|entry| entry.item);
    assert_eq!(order.collect::<Vec<_>>(), [2, 0]);
}

#[test]
fn earlier_deadlines_are_served_first_within_a_priority() {
    let mut queue = WaitingQueue::new(10);
    for (deadline, item) in [(500, 1), (300, 2), (400, 3)] {
        let entry = entry(RequestPriority::Standard, deadline, item);
        assert_eq!(queue.push(entry, &ESTIMATE, at(0)), QueueOutcome::Queued);
    }
    let order = std::iter::from_fn(|| queue.pop()).map(|entry| entry.item);
    assert_eq!(order.collect::<Vec<_>>(), [2, 3, 1]);
}

#[test]
fn retries_are_limited_to_a_share_of_the_traffic() {
    let budget = RetryBudget::new(100, 5);
    (0..1_000).for_each(|_| budget.earn());
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 5);
    (0..25).for_each(|_| budget.earn());
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 2);
}

#[test]
fn bulk_requests_leave_bandwidth_for_interactive_ones() {
    // 1,000 bytes take 2 ms on this link.
    let budget = LinkBudget::new(4_000_000);
    let admitted = |priority, millis| {
        let attempts = 0..1_000;
        attempts
            .filter(|_| budget.admit(1_000, priority, at(millis)))
            .count()
    };
    assert_eq!(admitted(RequestPriority::Bulk, 0), 5);
    assert_eq!(admitted(RequestPriority::Standard, 0), 20);
    assert_eq!(admitted(RequestPriority::Interactive, 0), 75);
    assert_eq!(admitted(RequestPriority::Bulk, 190), 0);
    assert_eq!(admitted(RequestPriority::Bulk, 200), 5);
    assert_eq!(admitted(RequestPriority::Bulk, 10_000), 5);
}
