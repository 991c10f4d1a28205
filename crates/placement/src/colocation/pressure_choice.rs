//! Which task to throttle, stop or release.

use crate::PressureAction;
use crate::PressureTask;

const WHOLE_PERMILLE: u64 = 1_000;
const THROTTLE_STEP_PERMILLE: u64 = 300;
const THROTTLE_MIN_PERMILLE: u64 = 50;

/// Chooses the task for `action` and the part of its processor time that it is
/// let have from then on, in thousandths; 0 stops it.
///
/// The task that still disturbs most is throttled further; the throttled task
/// that would disturb least is released first.
///
/// # Examples
///
/// ```
/// use sapphirestile_placement::PressureAction;
/// use sapphirestile_placement::PressureTask;
/// use sapphirestile_placement::choose_pressed;
///
/// let quiet = PressureTask { noise_permille: 50, throttle_permille: 1_000 };
/// let loud = PressureTask { noise_permille: 900, throttle_permille: 1_000 };
/// let action = PressureAction::ThrottleOne;
/// assert_eq!(choose_pressed(&[quiet, loud], action), Some((1, 300)));
/// let throttled = PressureTask { throttle_permille: 300, ..loud };
/// assert_eq!(choose_pressed(&[quiet, throttled], action), Some((1, 90)));
/// ```
#[must_use]
pub fn choose_pressed(tasks: &[PressureTask], action: PressureAction) -> Option<(usize, u64)> {
    let ranked = tasks.iter().enumerate();
    let throttled = |(_, task): &(usize, &PressureTask)| task.throttle_permille < WHOLE_PERMILLE;
    match action {
        PressureAction::Leave => None,
        PressureAction::ThrottleOne => {
            let (place, task) = ranked.max_by_key(|(_, task)| still_heard(task))?;
            Some((place, step_down(task.throttle_permille)))
        }
        PressureAction::StopOne => {
            let (place, _) = ranked.max_by_key(|(_, task)| task.noise_permille)?;
            Some((place, 0))
        }
        PressureAction::ReleaseOne => {
            let released = ranked.filter(throttled);
            let (place, task) = released.min_by_key(|(_, task)| task.noise_permille)?;
            Some((place, step_up(task.throttle_permille)))
        }
    }
}

/// How many releases lift a throttle altogether.
///
/// # Examples
///
/// ```
/// use sapphirestile_placement::throttle_steps;
///
/// assert_eq!(throttle_steps(1_000), 0);
/// assert_eq!(throttle_steps(300), 1);
/// assert_eq!(throttle_steps(50), 3);
/// ```
#[must_use]
pub fn throttle_steps(throttle_permille: u64) -> u32 {
    let mut permille = throttle_permille.max(THROTTLE_MIN_PERMILLE);
    let mut steps = 0;
    while permille < WHOLE_PERMILLE {
        permille = step_up(permille);
        steps += 1;
    }
    steps
}

const fn still_heard(task: &PressureTask) -> u64 {
    task.noise_permille * task.throttle_permille
}

fn step_down(throttle_permille: u64) -> u64 {
    let lower = throttle_permille * THROTTLE_STEP_PERMILLE / WHOLE_PERMILLE;
    lower.max(THROTTLE_MIN_PERMILLE)
}

fn step_up(throttle_permille: u64) -> u64 {
    let higher = throttle_permille * WHOLE_PERMILLE / THROTTLE_STEP_PERMILLE;
    // The steps round down, so nearly the whole is the whole.
    if higher * 10 >= WHOLE_PERMILLE * 9 {
        return WHOLE_PERMILLE;
    }
    higher
}
