//! What an owner does about tasks that slow the requests beside them.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::sighting;
use crate::owner_bench::starts;
use crate::owner_bench::task;
use crate::owner_bench::worker_name;
use crate::pressure_bench::CALM;
use crate::pressure_bench::LOUD;
use crate::pressure_bench::SlowdownRow;
use crate::pressure_bench::adopted_bench;
use crate::pressure_bench::hear;
use crate::pressure_bench::hear_since;
use crate::pressure_bench::noted;
use crate::pressure_bench::running_bench;
use crate::pressure_bench::show;
use crate::pressure_bench::throttle;
use crate::pressure_bench::throttled_bench;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::StopOrder;
use sapphirestile_core::AttemptNumber;
use sapphirestile_placement::PressurePolicy;

#[test]
fn a_lost_throttle_is_asked_for_until_the_report_shows_it() {
    let mut bench = running_bench();
    hear(&mut bench, "entry-1", 1, LOUD, 100);
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 300)]);
    assert!(noted(&bench, "left 300 thousandths of its time: requests"));
    show(&mut bench, None);
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 300)]);
    show(&mut bench, Some(300));
    show(&mut bench, Some(300));
    assert_eq!(bench.owner.due_throttles(), []);
    assert_eq!(bench.take(), [], "a throttle needs no commit");
}

#[test]
fn daemons_are_weighed_by_their_requests() {
    let mut bench = running_bench();
    hear(&mut bench, "entry-1", 1, CALM, 980);
    bench.wait(5_000);
    hear(&mut bench, "entry-2", 1, LOUD, 20);
    assert_eq!(bench.owner.due_throttles(), []);
    bench.wait(5_000);
    hear(&mut bench, "entry-2", 2, LOUD, 2_000);
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 300)]);
}

#[test]
fn a_message_that_comes_late_or_twice_changes_nothing() {
    let mut bench = running_bench();
    hear(&mut bench, "entry-1", 7, CALM, 100);
    bench.wait(5_000);
    hear(&mut bench, "entry-1", 6, LOUD, 9_000);
    hear(&mut bench, "entry-1", 7, LOUD, 9_000);
    assert_eq!(bench.owner.due_throttles(), []);
    hear(&mut bench, "entry-1", 8, LOUD, 9_000);
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 300)]);
}

#[test]
fn few_requests_decide_nothing() {
    let mut bench = running_bench();
    hear(&mut bench, "entry-1", 1, LOUD, 19);
    assert_eq!(bench.owner.due_throttles(), []);
    hear(&mut bench, "entry-1", 2, LOUD, 20);
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 300)]);
}

#[test]
fn nothing_is_decided_before_the_last_throttle_is_in_effect() {
    let mut bench = running_bench();
    hear(&mut bench, "entry-1", 1, LOUD, 100);
    assert_eq!(bench.owner.due_throttles().len(), 1);
    bench.wait(10_000);
    hear(&mut bench, "entry-1", 2, LOUD, 100);
    assert_eq!(bench.owner.due_throttles(), []);
    show(&mut bench, Some(300));
    bench.wait(10_000);
    hear(&mut bench, "entry-1", 3, LOUD, 100);
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 90)]);
}

#[test]
fn what_was_measured_before_the_effect_says_nothing_about_it() {
    let mut bench = running_bench();
    hear(&mut bench, "entry-1", 1, LOUD, 100);
    show(&mut bench, None);
    let before = bench.now.plus_millis(1);
    show(&mut bench, Some(300));
    let after = bench.now.plus_millis(1);
    bench.owner.due_throttles();
    bench.wait(10_000);
    let mut row = SlowdownRow {
        call: 2,
        measured: before,
        slowdown_permille: LOUD,
        requests: 100,
    };
    hear_since(&mut bench, "entry-1", &row);
    assert_eq!(bench.owner.due_throttles(), []);
    row.call = 3;
    row.measured = after;
    hear_since(&mut bench, "entry-1", &row);
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 90)]);
}

#[test]
fn the_third_throttle_in_vain_is_followed_by_a_stop_that_counts_as_an_eviction() {
    let mut bench = throttled_bench();
    for (call, limit) in [(2, 90), (3, 50)] {
        bench.wait(10_000);
        hear(&mut bench, "entry-1", call, LOUD, 100);
        assert_eq!(bench.owner.due_throttles(), [throttle(&bench, limit)]);
        show(&mut bench, Some(limit));
    }
    bench.wait(10_000);
    hear(&mut bench, "entry-1", 4, LOUD, 100);
    let stop = StopOrder {
        worker: worker_name("w1"),
        epoch: bench.epoch(),
        task: task("spins", 0),
        attempt: AttemptNumber::new(1),
        checkpoint: true,
    };
    assert_eq!(bench.stops(), [stop]);
    assert_eq!(bench.owner.evictions(), 1);
    assert!(noted(
        &bench,
        "asked to stop for the sake of services on w1"
    ));
    bench.renew(&[("w1", sighting("spins", 1, SightedPhase::Stopped, 700))]);
    bench.plan();
    assert_eq!(starts(bench.commit()), [], "the job waits for a minute");
    bench.wait(60_000);
    bench.renew(&[]);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 1);
}

#[test]
fn a_throttle_is_lifted_after_a_long_calm_and_asked_for_until_it_is() {
    let mut bench = throttled_bench();
    let mut waited_ms = 0;
    let mut call = 10;
    while bench.owner.throttle_of(&task("spins", 0)).is_some() {
        assert_eq!(bench.owner.due_throttles(), []);
        bench.wait(9_000);
        call += 1;
        hear(&mut bench, "entry-1", call, CALM, 100);
        waited_ms += 10_000;
        assert!(waited_ms < 200_000, "the throttle stays");
    }
    assert_eq!(waited_ms, 130_000);
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 1_000)]);
    show(&mut bench, Some(300));
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 1_000)]);
    show(&mut bench, None);
    show(&mut bench, None);
    assert_eq!(bench.owner.due_throttles(), []);
}

#[test]
fn a_new_owner_finds_the_throttle_and_lifts_it_after_the_same_calm() {
    let mut bench = adopted_bench(Some(PressurePolicy::default()));
    assert_eq!(bench.owner.due_throttles(), []);
    for call in 1..=13 {
        assert!(bench.owner.throttle_of(&task("spins", 0)).is_some());
        bench.wait(9_000);
        hear(&mut bench, "entry-2", call, CALM, 100);
    }
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 1_000)]);
}

#[test]
fn a_throttle_beside_which_nothing_is_measured_is_lifted() {
    let mut bench = adopted_bench(Some(PressurePolicy::default()));
    bench.wait(290_000);
    bench.owner.decide_pressure(bench.now);
    show(&mut bench, Some(300));
    assert_eq!(bench.owner.due_throttles(), []);
    bench.wait(10_000);
    bench.owner.decide_pressure(bench.now);
    show(&mut bench, Some(300));
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 1_000)]);
}

#[test]
fn without_throttling_every_throttle_is_lifted_and_none_is_made() {
    let mut bench = throttled_bench();
    bench.owner.set_pressure(None);
    show(&mut bench, Some(300));
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 1_000)]);
    show(&mut bench, None);
    hear(&mut bench, "entry-1", 2, LOUD, 100);
    assert_eq!(bench.owner.due_throttles(), []);
    let mut bench = adopted_bench(None);
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 1_000)]);
}

#[test]
fn one_large_task_is_throttled_before_several_small_ones() {
    let mut bench = OwnerBench::new();
    bench.list(&["w1"], true);
    bench.owner.set_pressure(Some(PressurePolicy::default()));
    bench.renew(&[]);
    let mut large = crate::owner_bench::order("looms", 1);
    large.size.cpu_milli = 4_000;
    bench.owner.submit_job(&large).unwrap();
    bench.submit("spins", 3);
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 4);
    hear(&mut bench, "entry-1", 1, LOUD, 100);
    let orders = bench.owner.due_throttles();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].task, task("looms", 0));
}

#[test]
fn an_urgent_task_is_throttled_and_never_stopped() {
    let mut bench = OwnerBench::new();
    bench.owner.set_pressure(Some(PressurePolicy::default()));
    bench.renew(&[]);
    let mut order = crate::owner_bench::order("spins", 1);
    order.urgent = true;
    bench.owner.submit_job(&order).unwrap();
    bench.plan();
    assert_eq!(starts(bench.commit()).len(), 1);
    bench.owner.start_answered("w1");
    show(&mut bench, None);
    for (call, limit) in [(1, 300), (2, 90), (3, 50)] {
        bench.wait(10_000);
        hear(&mut bench, "entry-1", call, LOUD, 100);
        show(&mut bench, Some(limit));
    }
    bench.wait(10_000);
    hear(&mut bench, "entry-1", 4, LOUD, 100);
    assert_eq!(bench.stops(), []);
    assert_eq!(bench.owner.evictions(), 0);
}
