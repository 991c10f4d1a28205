//! Which runs go slower, faster or elsewhere.

use crate::pacing::DisturbanceBook;
use crate::pacing::FillingRun;
use crate::pacing::PaceStep;
use crate::pacing::ServingRun;

/// A latency above this share of its target has to come down, in percent.
const HIGH_PERCENT: u64 = 80;

/// Latencies up to this share of their targets let a run work faster, in percent.
const LOW_PERCENT: u64 = 50;

/// The share of its target that a high latency is brought down to.
const WANTED_SHARE: f64 = 0.6;

/// How much of what has to go must be known to be some run's doing; otherwise all
/// of them are slowed.
const KNOWN_SHARE: f64 = 0.5;

/// The paces on the way back up, in percent.
const PACES: [u32; 3] = [30, 60, FULL_PERCENT];

const FULL_PERCENT: u32 = 100;

/// Plans the paces of one worker from the figures of its runs.
///
/// The runs that add most to the worst latency are stopped, to go on elsewhere, or
/// stand still if they would lose their work. Once all latencies are low, one run at
/// a time is sped up again.
#[derive(Clone, Copy, Debug)]
pub struct PacePlan<'a> {
    /// What is known of images.
    pub book: &'a DisturbanceBook,
    /// The runs with callers.
    pub serving: &'a [ServingRun],
    /// The runs that use leftover processor time.
    pub filling: &'a [FillingRun],
}

impl PacePlan<'_> {
    /// What is to be done; empty when all is well.
    #[must_use]
    pub fn steps(&self) -> Vec<PaceStep> {
        let mut steps = self.leave();
        steps.extend(self.adapt());
        steps
    }

    /// Runs that stand still and would disturb again go elsewhere.
    fn leave(&self) -> Vec<PaceStep> {
        let still = self.filling.iter().filter(|run| run.pace_percent == 0);
        still
            .filter(|run| run.can_move && !self.may_work(run, FULL_PERCENT))
            .map(|run| PaceStep::Move(run.task))
            .collect()
    }

    fn adapt(&self) -> Vec<PaceStep> {
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

    fn slow_down(&self, worst: &ServingRun) -> Vec<PaceStep> {
        let wanted = self.book.load_at(worst, WANTED_SHARE);
        let excess = self.book.present_load(worst) - wanted;
        let mut working: Vec<(&FillingRun, f64)> = self
            .filling
            .iter()
            .filter(|run| run.pace_percent > 0)
            .map(|run| (run, self.present_addition(run, worst)))
            .collect();
        working.sort_by(|(_, left), (_, right)| right.total_cmp(left));
        let known: f64 = working.iter().map(|(_, added)| added).sum();
        let is_known = known >= excess * KNOWN_SHARE;
        let mut gone = 0.0;
        let mut steps = Vec::new();
        for (run, added) in working {
            if is_known && gone >= excess {
                break;
            }
            gone += added;
            steps.push(slow_step(run, is_known));
        }
        steps
    }

    fn present_addition(&self, run: &FillingRun, serving: &ServingRun) -> f64 {
        self.book.addition(run, serving) * f64::from(run.pace_percent) / 100.0
    }

    /// Speeds the run up that disturbs least of those that are slowed, if all stays
    /// well by what is known.
    fn speed_up(&self) -> Vec<PaceStep> {
        let slowed = self
            .filling
            .iter()
            .filter(|run| run.pace_percent < FULL_PERCENT);
        let total = |run: &FillingRun| -> f64 {
            let added = self
                .serving
                .iter()
                .map(|serving| self.book.addition(run, serving));
            added.sum()
        };
        let least = slowed.min_by(|left, right| total(left).total_cmp(&total(right)));
        let Some(run) = least else {
            return Vec::new();
        };
        let next = PACES.iter().find(|&&pace| pace > run.pace_percent);
        let percent = next.copied().unwrap_or(FULL_PERCENT);
        if !self.may_work(run, percent) {
            return Vec::new();
        }
        vec![PaceStep::Pace {
            task: run.task,
            percent,
        }]
    }

    /// Whether all latencies are expected to stay low when a run works at a pace.
    fn may_work(&self, run: &FillingRun, percent: u32) -> bool {
        let mut after: Vec<FillingRun> = self.filling.to_vec();
        for other in &mut after {
            if other.task == run.task {
                other.pace_percent = percent;
            }
        }
        let mut serving = self.serving.iter();
        serving.all(|serving| self.book.allows(serving, &after))
    }
}

const fn slow_step(run: &FillingRun, is_known: bool) -> PaceStep {
    if run.can_move && is_known {
        PaceStep::Move(run.task)
    } else {
        PaceStep::Pace {
            task: run.task,
            percent: 0,
        }
    }
}
