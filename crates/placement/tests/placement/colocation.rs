//! Tests of interference control.

use crate::placement_fixture::job_name;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::PressureAction;
use sapphirestile_placement::PressurePolicy;
use sapphirestile_placement::PressureState;
use sapphirestile_placement::PressureTask;
use sapphirestile_placement::SlowdownModel;
use sapphirestile_placement::SlowdownSample;
use sapphirestile_placement::choose_pressure_target;
use sapphirestile_placement::release_steps;

const LAG_MS: u64 = 30_000;

/// The actions for `slowdowns`, measured every 15 s and received 30 s late.
fn actions(slowdowns: &[u64]) -> Vec<PressureAction> {
    let policy = PressurePolicy::default();
    let mut state = PressureState::default();
    let decide = |(step, slowdown): (usize, &u64)| {
        let measured = MonoTime::from_millis(15_000 * u64::try_from(step).unwrap());
        state.decide(*slowdown, measured, measured.plus_millis(LAG_MS), &policy)
    };
    slowdowns.iter().enumerate().map(decide).collect()
}

#[test]
fn tasks_are_throttled_before_one_is_stopped_and_each_effect_is_awaited() {
    use PressureAction::NoChange;
    use PressureAction::StopOne;
    use PressureAction::ThrottleOne;
    assert_eq!(
        actions(&[500; 10]),
        [
            ThrottleOne,
            NoChange,
            NoChange,
            ThrottleOne,
            NoChange,
            NoChange,
            ThrottleOne,
            NoChange,
            NoChange,
            StopOne
        ]
    );
}

#[test]
fn throttle_is_lifted_only_after_a_long_time_below_the_threshold() {
    let mut slowdowns = vec![500, 500, 500];
    slowdowns.extend([50; 12]);
    let actions = actions(&slowdowns);
    let released = actions
        .iter()
        .position(|action| *action == PressureAction::ReleaseOne);
    assert_eq!(released, Some(11));
}

#[test]
fn existing_throttles_are_lifted_step_by_step() {
    let policy = PressurePolicy::default();
    let mut state = PressureState::default();
    let mut throttle_permille = 50;
    let mut released = Vec::new();
    for step in 1..60 {
        let now = MonoTime::from_millis(15_000 * step);
        state.set_throttles(release_steps(throttle_permille), now);
        let action = state.decide(0, now, now, &policy);
        let task = PressureTask {
            interference_permille: 500,
            throttle_permille,
        };
        if let Some((_, permille)) = choose_pressure_target(&[task], action) {
            throttle_permille = permille;
            released.push(permille);
        }
    }
    assert_eq!(released, [166, 553, 1_000]);
    assert_eq!(state, PressureState::default());
}

#[test]
fn existing_throttles_count_towards_a_stop() {
    let policy = PressurePolicy::default();
    let at = MonoTime::from_millis;
    let mut state = PressureState::default();
    state.set_throttles(release_steps(50), at(1_000));
    let action = state.decide(500, at(2_000), at(2_000), &policy);
    assert_eq!(action, PressureAction::StopOne);
}

#[test]
fn throttles_of_ended_tasks_do_not_count_towards_a_stop() {
    let policy = PressurePolicy::default();
    let at = MonoTime::from_millis;
    let mut state = PressureState::default();
    for step in 0..3 {
        let now = at(step * 40_000);
        assert_eq!(
            state.decide(500, now, now, &policy),
            PressureAction::ThrottleOne
        );
    }
    state.set_throttles(0, at(100_000));
    let action = state.decide(500, at(120_000), at(120_000), &policy);
    assert_eq!(action, PressureAction::ThrottleOne);
}

#[test]
fn slowdown_between_the_thresholds_changes_nothing() {
    let mut slowdowns = vec![500, 500, 500];
    slowdowns.extend([180; 30]);
    let changes = actions(&slowdowns)
        .into_iter()
        .filter(|action| *action != PressureAction::NoChange)
        .count();
    assert_eq!(changes, 1);
}

#[test]
fn model_identifies_the_interfering_job() {
    let names = ["a", "b", "c", "d"].map(job_name);
    let mut model = SlowdownModel::default();
    for round in 0..60 {
        let absent = round % 4;
        let jobs = names
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != absent)
            .map(|(_, name)| name)
            .collect::<Vec<_>>();
        let slowdown_permille = if absent == 3 { 0 } else { 600 };
        model.learn(&SlowdownSample {
            measured: MonoTime::from_millis(0),
            slowdown_permille,
            jobs: &jobs,
        });
    }
    let interference = names.each_ref().map(|name| model.interference_of(name));
    assert!(interference[3] > 400, "{interference:?}");
    assert!(
        interference[..3]
            .iter()
            .all(|interference| *interference < 120),
        "{interference:?}"
    );
}

#[test]
fn most_interfering_task_is_throttled_first_and_released_last() {
    use PressureAction::ReleaseOne;
    use PressureAction::StopOne;
    use PressureAction::ThrottleOne;
    let task = |interference_permille| PressureTask {
        interference_permille,
        throttle_permille: 1_000,
    };
    let mut tasks = [task(100), task(900), task(250)];
    let mut steps = Vec::new();
    for action in [
        ThrottleOne,
        ThrottleOne,
        ThrottleOne,
        ReleaseOne,
        ReleaseOne,
        ReleaseOne,
        StopOne,
    ] {
        let (index, permille) = choose_pressure_target(&tasks, action).unwrap();
        tasks[index].throttle_permille = permille;
        steps.push((index, permille));
    }
    assert_eq!(
        steps,
        [
            (1, 300),
            (1, 90),
            (2, 300),
            (2, 1_000),
            (1, 300),
            (1, 1_000),
            (1, 0)
        ]
    );
}
