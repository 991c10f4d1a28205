//! The choice of a worker for a task.

use crate::advice::AdviceBook;
use crate::advice::StepAddress;
use crate::pacing::DisturbanceBook;
use crate::pacing::FillingRun;
use crate::pacing::ServingRun;
use crate::planner::TaskDemand;
use crate::worker::WorkerView;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ZoneName;

/// A worker that was not seen for this long gets no new tasks, in milliseconds.
const SIGHT_MAX_MS: u64 = 2_500;

/// The part of what lasting tasks declare that they use on average, in percent.
const LASTING_USE_PERCENT: u64 = 50;

/// The slack that a worker without callers counts with: a task that disturbs little
/// elsewhere leaves it to one that disturbs much.
const ALONE_SLACK: f64 = 0.15;

/// What a worker without callers costs a task with callers, against runs of others
/// beside it.
const OPEN_COST: i64 = 1;

/// What a run of another job with the same image costs: it has its load at other times.
const OTHER_JOB_COST: i64 = 1;

/// What a run of another image costs.
const STRANGER_COST: i64 = 3;

/// What is chosen only when nothing else is left.
const LAST_COST: i64 = 1_000;

/// What a worker near a step's data is better by.
const NEAR_BONUS: i64 = 100 * SCORE_SCALE;

/// How much less the processor time that is left counts than the slack.
const LEFT_DIVISOR: i64 = 4;

/// Whole, in percent.
const WHOLE_PERCENT: u64 = 100;

/// A worker where a latency is above this share of its target gets no more tasks
/// that may disturb, in percent.
const CROWDED_PERCENT: u64 = 70;

/// The scale of a score: a share of a worker's processor time.
const SCORE_SCALE: i64 = 10_000;

/// Chooses workers by what is known at one moment.
#[derive(Clone, Copy, Debug)]
pub struct WorkerChoice<'a> {
    /// The availability zones that get no new tasks.
    pub zones_out: &'a [ZoneName],
    /// How much images disturb each other.
    pub book: &'a DisturbanceBook,
    /// What the advisor said of steps.
    pub advice: &'a AdviceBook,
    /// Whether workers without callers are left to be given some.
    pub may_open: bool,
    /// The time.
    pub now: MonoTime,
}

impl WorkerChoice<'_> {
    /// Whether a worker may be given a task at all.
    #[must_use]
    pub fn is_usable(&self, worker: &WorkerView) -> bool {
        let Some(entry) = &worker.entry else {
            return false;
        };
        worker.is_listed
            && !entry.is_leaving
            && worker.clock.is_some()
            && !worker.is_silent
            && self.now.millis_since(worker.seen) <= SIGHT_MAX_MS
            && worker.trust.is_trusted(self.now)
            && !self.zones_out.contains(&entry.zone)
    }

    /// How well a task would do on a worker: the higher the better, none when it
    /// may not start there.
    ///
    /// A task with processor time of its own goes where the least is free; one with
    /// callers goes beside others of its image, since each image is disturbed by some
    /// others only. A task that uses what others leave goes nowhere when less than it
    /// can use is left, since two tasks at half the pace both end late, nor where a
    /// task with callers would become too slow; it goes where it disturbs least.
    #[must_use]
    pub fn score(&self, demand: &TaskDemand<'_>, worker: &WorkerView) -> Option<i64> {
        if demand.needs_ticket && !self.has_ticket(demand, worker) {
            return None;
        }
        self.room_score(demand, worker)
    }

    fn has_ticket(&self, demand: &TaskDemand<'_>, worker: &WorkerView) -> bool {
        let Some(entry) = &worker.entry else {
            return false;
        };
        let (step, life) = (StepAddress::from(demand.task), worker.life_unix_ms);
        let ticket = self.advice.ticket(step, &entry.name, life, self.now);
        ticket.is_some()
    }

    /// The score, whether or not there is a ticket.
    #[must_use]
    pub fn room_score(&self, demand: &TaskDemand<'_>, worker: &WorkerView) -> Option<i64> {
        let entry = worker.entry.as_ref()?;
        if *entry.service != *demand.service || !self.is_usable(worker) {
            return None;
        }
        let has_run = worker.runs.contains(&demand.task);
        if has_run || !has_label(demand, &entry.labels) || is_crowded(demand, worker) {
            return None;
        }
        let step = demand.step;
        let mut need = step.size;
        if step.uses_leftover {
            need.cpu_milli = 0;
        }
        if !need.fits(&entry.capacity.minus(worker.used())) {
            return None;
        }
        let capacity = entry.capacity.cpu_milli.max(1);
        if step.uses_leftover {
            return self.leftover_score(demand, capacity, worker);
        }
        let free = capacity.saturating_sub(worker.used().cpu_milli);
        let strangeness = self.strangeness(demand, worker);
        Some(near_bonus(demand, worker) - share_of(free, capacity) - strangeness * SCORE_SCALE)
    }

    /// How little a task with callers belongs on a worker: by the runs of other jobs
    /// and other images there. A worker without callers comes before such a mixture only while enough
    /// are left for tasks that disturb.
    fn strangeness(&self, demand: &TaskDemand<'_>, worker: &WorkerView) -> i64 {
        if demand.step.latency_target_ms.is_none() {
            return 0;
        }
        let serving = worker.serving_runs();
        if serving.is_empty() {
            return if self.may_open { OPEN_COST } else { LAST_COST };
        }
        let cost = |run: &ServingRun| {
            if run.job == demand.task.job {
                0
            } else if Some(run.image) == demand.image {
                OTHER_JOB_COST
            } else {
                STRANGER_COST
            }
        };
        serving.iter().map(cost).sum()
    }

    fn leftover_score(
        &self,
        demand: &TaskDemand<'_>,
        capacity: u64,
        worker: &WorkerView,
    ) -> Option<i64> {
        let lasting = worker.lasting_cpu_milli();
        let unused = lasting * (WHOLE_PERCENT - LASTING_USE_PERCENT) / WHOLE_PERCENT;
        let taken = worker.used().cpu_milli - unused + worker.leftover_cpu_milli();
        let left = capacity.checked_sub(taken + demand.step.size.cpu_milli)?;
        let serving = worker.serving_runs();
        if serving.iter().any(|run| run.percent() > CROWDED_PERCENT) {
            return None;
        }
        let mut neighbours = worker.filling_runs(self.now);
        if let Some(image) = demand.image {
            neighbours.push(FillingRun::wanted(demand, image));
        }
        let slacks = serving
            .iter()
            .map(|serving| self.book.slack(serving, &neighbours));
        let slack = slacks.min_by(f64::total_cmp).unwrap_or(ALONE_SLACK);
        let score = near_bonus(demand, worker) + scaled(slack);
        (slack >= 0.0).then(|| score + share_of(left, capacity) / LEFT_DIVISOR)
    }
}

/// What a worker on the rack of a step's data is better by: elsewhere its tasks run
/// several times as long.
fn near_bonus(demand: &TaskDemand<'_>, worker: &WorkerView) -> i64 {
    let rack = demand.step.data_rack.as_ref();
    if rack.is_some_and(|rack| worker.has_label(rack)) {
        NEAR_BONUS
    } else {
        0
    }
}

fn has_label(demand: &TaskDemand<'_>, labels: &[Box<str>]) -> bool {
    let required = demand.step.required_label.as_ref();
    required.is_none_or(|label| labels.contains(label))
}

fn is_crowded(demand: &TaskDemand<'_>, worker: &WorkerView) -> bool {
    let most = demand.step.per_worker_max;
    most.is_some_and(|most| worker.count_of_step(&demand.task) >= most)
}

fn share_of(part: u64, whole: u64) -> i64 {
    let part = i64::try_from(part).unwrap_or(i64::MAX / SCORE_SCALE);
    let whole = i64::try_from(whole).unwrap_or(i64::MAX);
    part.saturating_mul(SCORE_SCALE) / whole
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a load is between -1 and 1"
)]
fn scaled(load: f64) -> i64 {
    (load * 10_000.0) as i64
}
