//! Scenes of tasks that disturb each other.

use crate::scene::job_name;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::NoiseBook;
use sapphirestile_placement::PressureAction;
use sapphirestile_placement::PressurePolicy;
use sapphirestile_placement::PressureState;
use sapphirestile_placement::PressureTask;
use sapphirestile_placement::SlowdownSample;
use sapphirestile_placement::choose_pressed;
use sapphirestile_placement::throttle_steps;

const LAG_MS: u64 = 30_000;

/// Feeds slowdowns measured every 15 s that arrive 30 s late.
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
fn throttle_comes_before_stop_and_waits_for_its_effect() {
    use PressureAction::Leave;
    use PressureAction::StopOne;
    use PressureAction::ThrottleOne;
    assert_eq!(
        actions(&[500; 10]),
        [
            ThrottleOne,
            Leave,
            Leave,
            ThrottleOne,
            Leave,
            Leave,
            ThrottleOne,
            Leave,
            Leave,
            StopOne
        ]
    );
}

#[test]
fn a_throttle_is_lifted_only_after_a_long_calm() {
    let mut slowdowns = vec![500, 500, 500];
    slowdowns.extend([50; 12]);
    let actions = actions(&slowdowns);
    let released = actions
        .iter()
        .position(|action| *action == PressureAction::ReleaseOne);
    assert_eq!(released, Some(11));
}

#[test]
fn throttles_found_on_a_worker_are_lifted_one_step_after_the_other() {
    let policy = PressurePolicy::default();
    let mut state = PressureState::default();
    let mut throttle_permille = 50;
    let mut lifted = Vec::new();
    for step in 1..60 {
        let now = MonoTime::from_millis(15_000 * step);
        state.align(throttle_steps(throttle_permille), now);
        let action = state.decide(0, now, now, &policy);
        let task = PressureTask {
            noise_permille: 500,
            throttle_permille,
        };
        if let Some((_, permille)) = choose_pressed(&[task], action) {
            throttle_permille = permille;
            lifted.push(permille);
        }
    }
    assert_eq!(lifted, [166, 553, 1_000]);
    assert_eq!(state, PressureState::default());
}

#[test]
fn throttles_found_on_a_worker_count_towards_a_stop() {
    let policy = PressurePolicy::default();
    let at = MonoTime::from_millis;
    let mut state = PressureState::default();
    state.align(throttle_steps(50), at(1_000));
    let action = state.decide(500, at(2_000), at(2_000), &policy);
    assert_eq!(action, PressureAction::StopOne);
}

#[test]
fn throttles_that_ended_with_their_tasks_do_not_count_towards_a_stop() {
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
    state.align(0, at(100_000));
    let action = state.decide(500, at(120_000), at(120_000), &policy);
    assert_eq!(action, PressureAction::ThrottleOne);
}

#[test]
fn between_the_bounds_nothing_moves() {
    let mut slowdowns = vec![500, 500, 500];
    slowdowns.extend([180; 30]);
    let moved = actions(&slowdowns)
        .into_iter()
        .filter(|action| *action != PressureAction::Leave)
        .count();
    assert_eq!(moved, 1);
}

#[test]
fn the_loud_job_is_found_among_quiet_ones() {
    let names = ["a", "b", "c", "loud"].map(job_name);
    let mut book = NoiseBook::default();
    for round in 0..60 {
        let left_out = round % 4;
        let jobs = names
            .iter()
            .enumerate()
            .filter(|(place, _)| *place != left_out)
            .map(|(_, name)| name)
            .collect::<Vec<_>>();
        let slowdown_permille = if left_out == 3 { 0 } else { 600 };
        book.learn(&SlowdownSample {
            measured: MonoTime::from_millis(0),
            slowdown_permille,
            jobs: &jobs,
        });
    }
    let noise = names.each_ref().map(|name| book.noise_of(name));
    assert!(noise[3] > 400, "{noise:?}");
    assert!(noise[..3].iter().all(|noise| *noise < 120), "{noise:?}");
}

#[test]
fn the_loudest_task_is_throttled_step_by_step_and_released_last() {
    use PressureAction::ReleaseOne;
    use PressureAction::StopOne;
    use PressureAction::ThrottleOne;
    let task = |noise_permille| PressureTask {
        noise_permille,
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
        let (place, permille) = choose_pressed(&tasks, action).unwrap();
        tasks[place].throttle_permille = permille;
        steps.push((place, permille));
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
