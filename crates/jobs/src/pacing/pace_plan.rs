//! Plan for the paces of the runs on a worker.

use crate::pacing::BestEffortRun;
use crate::pacing::InterferenceModel;
use crate::pacing::PaceAction;
use crate::pacing::ServingRun;

/// Latencies above this share of their target trigger throttling, in percent.
const HIGH_PERCENT: u64 = 80;

/// While all latencies are at most this share of their targets, a run may be sped up, in
/// percent.
const LOW_PERCENT: u64 = 50;

/// Latency that throttling aims for, as a share of the target.
const TARGET_SHARE: f64 = 0.6;

/// Minimum share of the excess load that the model must attribute to runs. Below it, every
/// run is paused.
const EXPLAINED_SHARE: f64 = 0.5;

/// Steps in which the pace of a run is raised again, in percent.
const PACES: [u32; 3] = [PacePlan::LOWEST_PERCENT, 60, FULL_PERCENT];

const FULL_PERCENT: u32 = 100;

/// Plans the paces of the best-effort runs on one worker from its measurements.
///
/// When a latency is too high, the runs that contribute most to it are stopped, to be
/// restarted on another worker, or paused if they would lose their work. A task that has had
/// many runs is slowed down first, since it might never end otherwise. Once all latencies are
/// low, one run at a time is sped up again.
#[derive(Clone, Copy, Debug)]
pub struct PacePlan<'a> {
    /// Interference between the images.
    pub model: &'a InterferenceModel,
    /// Latency-sensitive runs on the worker.
    pub serving: &'a [ServingRun],
    /// Best-effort runs on the worker.
    pub best_effort: &'a [BestEffortRun],
}

impl PacePlan<'_> {
    /// Lowest pace at which a run works, in percent of its full speed.
    pub const LOWEST_PERCENT: u32 = 30;

    /// Actions to take now; empty if no pace has to change.
    #[must_use]
    pub fn actions(&self) -> Vec<PaceAction> {
        let mut actions = self.move_paused();
        actions.extend(self.adapt());
        actions
    }

    /// Moves paused runs that would interfere again at full pace.
    fn move_paused(&self) -> Vec<PaceAction> {
        let paused = self.best_effort.iter().filter(|run| run.pace_percent == 0);
        paused
            .filter(|run| run.can_move && !self.can_run_at(run, FULL_PERCENT))
            .map(|run| PaceAction::Move(run.task))
            .collect()
    }

    fn adapt(&self) -> Vec<PaceAction> {
        let worst = self.serving.iter().max_by_key(|run| run.percent());
        let Some(worst) = worst else {
            return self.speed_up();
        };
        if worst.percent() > HIGH_PERCENT {
            return self.slow_down(worst);
        }
        if worst.percent() <= LOW_PERCENT {
            return self.speed_up();
        }
        Vec::new()
    }

    /// Moves or pauses the runs that add most load to the run with the worst latency, until
    /// the excess load is removed.
    fn slow_down(&self, worst: &ServingRun) -> Vec<PaceAction> {
        let target_load = self.model.load_at(worst, TARGET_SHARE);
        let excess_load = self.model.current_load(worst) - target_load;
        let mut running: Vec<(&BestEffortRun, f64)> = self
            .best_effort
            .iter()
            .filter(|run| run.pace_percent > 0)
            .map(|run| (run, self.current_added_load(run, worst)))
            .collect();
        running.sort_by(|(_, left), (_, right)| right.total_cmp(left));
        let explained_load: f64 = running.iter().map(|(_, added_load)| added_load).sum();
        let is_explained = explained_load >= excess_load * EXPLAINED_SHARE;
        let mut removed_load = 0.0;
        let mut actions = Vec::new();
        for (run, added_load) in running {
            if is_explained && removed_load >= excess_load {
                break;
            }
            let action = slow_down_action(run, is_explained);
            removed_load += added_load * removed_share(&action, run);
            actions.push(action);
        }
        actions
    }

    fn current_added_load(&self, run: &BestEffortRun, serving: &ServingRun) -> f64 {
        self.model.added_load(run, serving) * f64::from(run.pace_percent) / 100.0
    }

    /// Speeds up the throttled run with the least interference, if all latencies are predicted
    /// to stay low.
    fn speed_up(&self) -> Vec<PaceAction> {
        let throttled = self
            .best_effort
            .iter()
            .filter(|run| run.pace_percent < FULL_PERCENT);
        let total = |run: &BestEffortRun| -> f64 {
            let added = self
                .serving
                .iter()
                .map(|serving| self.model.added_load(run, serving));
            added.sum()
        };
        let least = throttled.min_by(|left, right| total(left).total_cmp(&total(right)));
        let Some(run) = least else {
            return Vec::new();
        };
        let next = PACES.iter().find(|&&pace| pace > run.pace_percent);
        let percent = next.copied().unwrap_or(FULL_PERCENT);
        if !self.can_run_at(run, percent) {
            return Vec::new();
        }
        vec![PaceAction::Pace {
            task: run.task,
            percent,
        }]
    }

    /// Whether all latencies are predicted to stay low with a run at the given pace.
    fn can_run_at(&self, run: &BestEffortRun, percent: u32) -> bool {
        let mut after: Vec<BestEffortRun> = self.best_effort.to_vec();
        for other in &mut after {
            if other.task == run.task {
                other.pace_percent = percent;
            }
        }
        let mut serving = self.serving.iter();
        serving.all(|serving| self.model.allows(serving, &after))
    }
}

/// Share of the load that a run adds which an action removes.
fn removed_share(action: &PaceAction, run: &BestEffortRun) -> f64 {
    match action {
        PaceAction::Pace { percent, .. } => 1.0 - f64::from(*percent) / f64::from(run.pace_percent),
        PaceAction::Move(_) => 1.0,
    }
}

const fn slow_down_action(run: &BestEffortRun, is_explained: bool) -> PaceAction {
    let percent = if !run.can_move || !is_explained {
        0
    } else if run.is_slowed_first && run.pace_percent > PacePlan::LOWEST_PERCENT {
        PacePlan::LOWEST_PERCENT
    } else {
        return PaceAction::Move(run.task);
    };
    PaceAction::Pace {
        task: run.task,
        percent,
    }
}
