//! Choice of the task to throttle, stop or release.

use crate::PressureAction;
use crate::PressureTask;

const WHOLE_PERMILLE: u64 = 1_000;
/// The factor of one throttle step, in thousandths.
const THROTTLE_STEP_PERMILLE: u64 = 300;
/// The smallest part of its CPU time that a throttled task keeps, in thousandths.
const THROTTLE_MIN_PERMILLE: u64 = 50;

/// Chooses the task for `action`. Returns its index and the part of its CPU time that
/// it may use from then on, in thousandths; 0 stops it.
///
/// The task with the most interference at its current throttle is throttled first;
/// the throttled task with the least interference when unthrottled is released first.
/// Returns `None` if there is no such task or nothing to change.
///
/// # Examples
///
/// ```
/// use sapphirestile_placement::PressureAction;
/// use sapphirestile_placement::PressureTask;
/// use sapphirestile_placement::choose_pressure_target;
///
/// let light = PressureTask { interference_permille: 50, throttle_permille: 1_000 };
/// let heavy = PressureTask { interference_permille: 900, throttle_permille: 1_000 };
/// let action = PressureAction::ThrottleOne;
/// assert_eq!(choose_pressure_target(&[light, heavy], action), Some((1, 300)));
/// let throttled = PressureTask { throttle_permille: 300, ..heavy };
/// assert_eq!(choose_pressure_target(&[light, throttled], action), Some((1, 90)));
/// ```
#[must_use]
pub fn choose_pressure_target(
    tasks: &[PressureTask],
    action: PressureAction,
) -> Option<(usize, u64)> {
    let ranked = tasks.iter().enumerate();
    let throttled = |(_, task): &(usize, &PressureTask)| task.throttle_permille < WHOLE_PERMILLE;
    match action {
        PressureAction::NoChange => None,
        PressureAction::ThrottleOne => {
            let (index, task) = ranked.max_by_key(|(_, task)| residual_interference(task))?;
            Some((index, step_down(task.throttle_permille)))
        }
        PressureAction::StopOne => {
            let (index, _) = ranked.max_by_key(|(_, task)| task.interference_permille)?;
            Some((index, 0))
        }
        PressureAction::ReleaseOne => {
            let released = ranked.filter(throttled);
            let (index, task) = released.min_by_key(|(_, task)| task.interference_permille)?;
            Some((index, step_up(task.throttle_permille)))
        }
    }
}

/// The number of release steps that lift a throttle of `throttle_permille` completely.
///
/// # Examples
///
/// ```
/// use sapphirestile_placement::release_steps;
///
/// assert_eq!(release_steps(1_000), 0);
/// assert_eq!(release_steps(300), 1);
/// assert_eq!(release_steps(50), 3);
/// ```
#[must_use]
pub fn release_steps(throttle_permille: u64) -> u32 {
    let mut permille = throttle_permille.max(THROTTLE_MIN_PERMILLE);
    let mut steps = 0;
    while permille < WHOLE_PERMILLE {
        permille = step_up(permille);
        steps += 1;
    }
    steps
}

const fn residual_interference(task: &PressureTask) -> u64 {
    task.interference_permille * task.throttle_permille
}

fn step_down(throttle_permille: u64) -> u64 {
    let lower = throttle_permille * THROTTLE_STEP_PERMILLE / WHOLE_PERMILLE;
    lower.max(THROTTLE_MIN_PERMILLE)
}

fn step_up(throttle_permille: u64) -> u64 {
    let higher = throttle_permille * WHOLE_PERMILLE / THROTTLE_STEP_PERMILLE;
    // Steps round down, so a value close to 1,000 stands for no throttle.
    if higher * 10 >= WHOLE_PERMILLE * 9 {
        return WHOLE_PERMILLE;
    }
    higher
}
