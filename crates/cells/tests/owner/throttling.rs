//! Throttling of tasks that slow the requests next to them.

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::attempt_report;
use crate::owner_harness::starts;
use crate::owner_harness::task;
use crate::owner_harness::worker_name;
use crate::pressure_harness::SLOWED_PERMILLE;
use crate::pressure_harness::SlowdownSample;
use crate::pressure_harness::UNDISTURBED_PERMILLE;
use crate::pressure_harness::adopted_harness;
use crate::pressure_harness::is_logged;
use crate::pressure_harness::measure_and_decide;
use crate::pressure_harness::renew_with_limit;
use crate::pressure_harness::running_harness;
use crate::pressure_harness::send_sample;
use crate::pressure_harness::throttle;
use crate::pressure_harness::throttled_harness;
use sapphirestile_cells::AttemptStop;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_core::AttemptNumber;
use sapphirestile_placement::PressurePolicy;

#[test]
fn a_lost_throttle_request_is_repeated_until_a_report_confirms_it() {
    let mut harness = running_harness();
    measure_and_decide(&mut harness, "entry-1", 1, SLOWED_PERMILLE, 100);
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 300)]);
    assert!(is_logged(
        &harness,
        "throttled to 300 permille of its processor time: requests"
    ));
    renew_with_limit(&mut harness, None);
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 300)]);
    renew_with_limit(&mut harness, Some(300));
    renew_with_limit(&mut harness, Some(300));
    assert_eq!(harness.owner.due_throttles(), []);
    assert_eq!(harness.take(), [], "a throttle needs no commit");
}

#[test]
fn samples_of_daemons_are_weighted_by_requests() {
    let mut harness = running_harness();
    measure_and_decide(&mut harness, "entry-1", 1, UNDISTURBED_PERMILLE, 980);
    harness.wait(5_000);
    measure_and_decide(&mut harness, "entry-2", 1, SLOWED_PERMILLE, 20);
    assert_eq!(harness.owner.due_throttles(), []);
    harness.wait(5_000);
    measure_and_decide(&mut harness, "entry-2", 2, SLOWED_PERMILLE, 2_000);
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 300)]);
}

#[test]
fn late_and_repeated_messages_are_ignored() {
    let mut harness = running_harness();
    measure_and_decide(&mut harness, "entry-1", 7, UNDISTURBED_PERMILLE, 100);
    harness.wait(5_000);
    measure_and_decide(&mut harness, "entry-1", 6, SLOWED_PERMILLE, 9_000);
    measure_and_decide(&mut harness, "entry-1", 7, SLOWED_PERMILLE, 9_000);
    assert_eq!(harness.owner.due_throttles(), []);
    measure_and_decide(&mut harness, "entry-1", 8, SLOWED_PERMILLE, 9_000);
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 300)]);
}

#[test]
fn too_few_requests_lead_to_no_decision() {
    let mut harness = running_harness();
    measure_and_decide(&mut harness, "entry-1", 1, SLOWED_PERMILLE, 19);
    assert_eq!(harness.owner.due_throttles(), []);
    measure_and_decide(&mut harness, "entry-1", 2, SLOWED_PERMILLE, 20);
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 300)]);
}

#[test]
fn nothing_is_decided_before_the_last_throttle_is_in_effect() {
    let mut harness = running_harness();
    measure_and_decide(&mut harness, "entry-1", 1, SLOWED_PERMILLE, 100);
    assert_eq!(harness.owner.due_throttles().len(), 1);
    harness.wait(10_000);
    measure_and_decide(&mut harness, "entry-1", 2, SLOWED_PERMILLE, 100);
    assert_eq!(harness.owner.due_throttles(), []);
    renew_with_limit(&mut harness, Some(300));
    harness.wait(10_000);
    measure_and_decide(&mut harness, "entry-1", 3, SLOWED_PERMILLE, 100);
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 90)]);
}

#[test]
fn samples_from_before_a_throttle_took_effect_are_ignored() {
    let mut harness = running_harness();
    measure_and_decide(&mut harness, "entry-1", 1, SLOWED_PERMILLE, 100);
    renew_with_limit(&mut harness, None);
    let before = harness.now.plus_millis(1);
    renew_with_limit(&mut harness, Some(300));
    let after = harness.now.plus_millis(1);
    harness.owner.due_throttles();
    harness.wait(10_000);
    let mut sample = SlowdownSample {
        call: 2,
        measured: before,
        slowdown_permille: SLOWED_PERMILLE,
        requests: 100,
    };
    send_sample(&mut harness, "entry-1", &sample);
    assert_eq!(harness.owner.due_throttles(), []);
    sample.call = 3;
    sample.measured = after;
    send_sample(&mut harness, "entry-1", &sample);
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 90)]);
}

#[test]
fn a_task_is_evicted_after_three_throttles_without_effect() {
    let mut harness = throttled_harness();
    for (call, limit) in [(2, 90), (3, 50)] {
        harness.wait(10_000);
        measure_and_decide(&mut harness, "entry-1", call, SLOWED_PERMILLE, 100);
        assert_eq!(harness.owner.due_throttles(), [throttle(&harness, limit)]);
        renew_with_limit(&mut harness, Some(limit));
    }
    harness.wait(10_000);
    measure_and_decide(&mut harness, "entry-1", 4, SLOWED_PERMILLE, 100);
    let stop = AttemptStop {
        worker: worker_name("w1"),
        epoch: harness.epoch(),
        task: task("spins", 0),
        attempt: AttemptNumber::new(1),
        checkpoint: true,
    };
    assert_eq!(harness.stops(), [stop]);
    assert_eq!(harness.owner.evictions(), 1);
    assert!(is_logged(
        &harness,
        "asked to stop to protect services on w1"
    ));
    harness.renew(&[(
        "w1",
        attempt_report("spins", 1, ReportedPhase::Stopped, 700),
    )]);
    harness.plan();
    assert_eq!(starts(harness.commit()), [], "the job waits for a minute");
    harness.wait(60_000);
    harness.renew(&[]);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 1);
}

#[test]
fn a_throttle_is_lifted_after_130_s_without_slowdown_and_the_request_is_repeated() {
    let mut harness = throttled_harness();
    let mut waited_ms = 0;
    let mut call = 10;
    while harness.owner.throttle_of(&task("spins", 0)).is_some() {
        assert_eq!(harness.owner.due_throttles(), []);
        harness.wait(9_000);
        call += 1;
        measure_and_decide(&mut harness, "entry-1", call, UNDISTURBED_PERMILLE, 100);
        waited_ms += 10_000;
        assert!(waited_ms < 200_000, "the throttle stays");
    }
    assert_eq!(waited_ms, 130_000);
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 1_000)]);
    renew_with_limit(&mut harness, Some(300));
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 1_000)]);
    renew_with_limit(&mut harness, None);
    renew_with_limit(&mut harness, None);
    assert_eq!(harness.owner.due_throttles(), []);
}

#[test]
fn a_new_owner_adopts_a_throttle_and_lifts_it_after_130_s_without_slowdown() {
    let mut harness = adopted_harness(Some(PressurePolicy::default()));
    assert_eq!(harness.owner.due_throttles(), []);
    for call in 1..=13 {
        assert!(harness.owner.throttle_of(&task("spins", 0)).is_some());
        harness.wait(9_000);
        measure_and_decide(&mut harness, "entry-2", call, UNDISTURBED_PERMILLE, 100);
    }
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 1_000)]);
}

#[test]
fn a_throttle_is_lifted_when_nothing_is_measured_for_300_s() {
    let mut harness = adopted_harness(Some(PressurePolicy::default()));
    harness.wait(290_000);
    harness.owner.decide_pressure(harness.now);
    renew_with_limit(&mut harness, Some(300));
    assert_eq!(harness.owner.due_throttles(), []);
    harness.wait(10_000);
    harness.owner.decide_pressure(harness.now);
    renew_with_limit(&mut harness, Some(300));
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 1_000)]);
}

#[test]
fn without_a_policy_throttles_are_lifted_and_none_is_requested() {
    let mut harness = throttled_harness();
    harness.owner.set_pressure(None);
    renew_with_limit(&mut harness, Some(300));
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 1_000)]);
    renew_with_limit(&mut harness, None);
    measure_and_decide(&mut harness, "entry-1", 2, SLOWED_PERMILLE, 100);
    assert_eq!(harness.owner.due_throttles(), []);
    let mut harness = adopted_harness(None);
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 1_000)]);
}

#[test]
fn one_large_task_is_throttled_before_several_small_ones() {
    let mut harness = OwnerHarness::new();
    harness.set_workers(&["w1"], true);
    harness.owner.set_pressure(Some(PressurePolicy::default()));
    harness.renew(&[]);
    let mut large = crate::owner_harness::array_spec("looms", 1);
    large.size.cpu_milli = 4_000;
    harness.owner.submit_job(&large).unwrap();
    harness.submit("spins", 3);
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 4);
    measure_and_decide(&mut harness, "entry-1", 1, SLOWED_PERMILLE, 100);
    let requests = harness.owner.due_throttles();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].task, task("looms", 0));
}

#[test]
fn an_urgent_task_is_throttled_and_never_stopped() {
    let mut harness = OwnerHarness::new();
    harness.owner.set_pressure(Some(PressurePolicy::default()));
    harness.renew(&[]);
    let mut spec = crate::owner_harness::array_spec("spins", 1);
    spec.urgent = true;
    harness.owner.submit_job(&spec).unwrap();
    harness.plan();
    assert_eq!(starts(harness.commit()).len(), 1);
    harness.owner.start_answered("w1");
    renew_with_limit(&mut harness, None);
    for (call, limit) in [(1, 300), (2, 90), (3, 50)] {
        harness.wait(10_000);
        measure_and_decide(&mut harness, "entry-1", call, SLOWED_PERMILLE, 100);
        renew_with_limit(&mut harness, Some(limit));
    }
    harness.wait(10_000);
    measure_and_decide(&mut harness, "entry-1", 4, SLOWED_PERMILLE, 100);
    assert_eq!(harness.stops(), []);
    assert_eq!(harness.owner.evictions(), 0);
}
