//! Learning from measurements, and the choice of the task to act on.

use sapphirestile_core::JobName;
use sapphirestile_placement::PressureAction;
use sapphirestile_placement::PressureTask;
use sapphirestile_placement::SlowdownSample;
use sapphirestile_placement::choose_pressure_target;

use crate::pressure::CombinedSlowdown;
use crate::pressure::PressureDecision;
use crate::pressure::PressureTracker;
use crate::pressure::ThrottleCandidate;
use crate::pressure::pressure_tracker::WHOLE_PERMILLE;

const CORE_MILLI: u64 = 1_000;

impl PressureTracker {
    pub(super) fn learn(&mut self, tasks: &[ThrottleCandidate], combined: &CombinedSlowdown) {
        let jobs: Vec<&JobName> = tasks.iter().map(|task| &task.task.job).collect();
        self.slowdown_model.learn(&SlowdownSample {
            measured: combined.measured,
            slowdown_permille: combined.slowdown_permille,
            jobs: &jobs,
        });
    }

    pub(super) fn choose(
        &self,
        tasks: &[ThrottleCandidate],
        action: PressureAction,
        combined: &CombinedSlowdown,
    ) -> Option<PressureDecision> {
        let stops = action == PressureAction::StopOne;
        let allowed = |(_, task): &(usize, &ThrottleCandidate)| !(stops && task.urgent);
        let (indices, views): (Vec<usize>, Vec<PressureTask>) = tasks
            .iter()
            .enumerate()
            .filter(allowed)
            .map(|(index, task)| (index, self.view_of(task)))
            .unzip();
        let (chosen, permille) = choose_pressure_target(&views, action)?;
        let index = indices[chosen];
        let cause = combined.to_string();
        Some(match permille {
            0 => PressureDecision::Stop { index, cause },
            _ => PressureDecision::Limit {
                index,
                permille,
                cause,
            },
        })
    }

    /// A throttle takes processor time, so a task's interference is weighted by the cores
    /// allocated to it.
    pub(super) fn view_of(&self, task: &ThrottleCandidate) -> PressureTask {
        let throttle = self.throttles.get(&task.task);
        let interference_permille = self.slowdown_model.interference_of(&task.task.job);
        PressureTask {
            interference_permille: interference_permille.saturating_mul(task.cpu_milli)
                / CORE_MILLI,
            throttle_permille: throttle.map_or(WHOLE_PERMILLE, |throttle| throttle.permille),
        }
    }
}
