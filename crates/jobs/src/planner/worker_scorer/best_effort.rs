//! Scoring of workers for a best-effort task.

use super::SCORE_SCALE;
use super::data_rack_bonus;
use super::share_of;
use crate::pacing::BestEffortRun;
use crate::pacing::ServingRun;
use crate::planner::RoomRefusal;
use crate::planner::TaskDemand;
use crate::planner::WorkerScorer;
use crate::worker::TrackedWorker;

/// Load slack assumed for a worker without latency-sensitive runs. A task that interferes
/// little scores higher elsewhere, which leaves such workers to tasks that interfere much.
const EMPTY_WORKER_SLACK: f64 = 0.15;

/// Divisor for the score of free processor time, which counts less than load slack.
const FREE_CPU_DIVISOR: i64 = 4;

/// A worker with a latency above this share of its target gets no best-effort tasks, in
/// percent.
const HIGH_LATENCY_PERCENT: u64 = 70;

/// Share of the target from which a latency is over it, in percent.
const TARGET_PERCENT: u64 = 100;

/// Bonus of a worker that has room for an overdue task like for any other.
const ROOM_BONUS: i64 = 1_000 * SCORE_SCALE;

/// Cost of a worker with a latency over its target, where an overdue task would be paused.
const OVER_TARGET_COST: i64 = 10 * SCORE_SCALE;

/// Cost of each overdue run that a worker has, which spreads them.
const OVERDUE_RUN_COST: i64 = SCORE_SCALE;

impl WorkerScorer<'_> {
    /// Score of a worker for a best-effort task that its memory would do for; `None` if the
    /// task cannot start there. An overdue one can, beyond what is idle or predicted to be
    /// tolerable: pacing keeps latencies low beside it.
    pub(super) fn score_of_best_effort(
        &self,
        demand: &TaskDemand<'_>,
        capacity: u64,
        worker: &TrackedWorker,
    ) -> Option<i64> {
        let score = self.best_effort_score(demand, capacity, worker).ok();
        if !demand.is_overdue {
            return score;
        }
        let with_room = score.map(|score| score + ROOM_BONUS);
        Some(with_room.unwrap_or_else(|| self.least_harm_score(demand, capacity, worker)))
    }

    /// Score of a worker that has no room for an overdue task, the higher the less harm the task
    /// does.
    fn least_harm_score(
        &self,
        demand: &TaskDemand<'_>,
        capacity: u64,
        worker: &TrackedWorker,
    ) -> i64 {
        let idle = worker.idle_cpu_milli(capacity);
        let missing = demand.step.size.cpu_milli.saturating_sub(idle);
        let serving = worker.serving_runs();
        let is_over_target = serving.iter().any(|run| run.percent() > TARGET_PERCENT);
        let overdue_runs = i64::try_from(worker.overdue_runs()).unwrap_or(i64::MAX / SCORE_SCALE);
        let overdue_cost = overdue_runs * OVERDUE_RUN_COST;
        let over_target_cost = if is_over_target { OVER_TARGET_COST } else { 0 };
        data_rack_bonus(demand, worker) + scaled(self.lowest_slack(demand, &serving, worker))
            - share_of(missing, capacity) / FREE_CPU_DIVISOR
            - over_target_cost
            - overdue_cost
    }

    /// Score of a worker for a best-effort task that its memory would do for, or why it has no
    /// room.
    pub(in crate::planner) fn best_effort_score(
        &self,
        demand: &TaskDemand<'_>,
        capacity: u64,
        worker: &TrackedWorker,
    ) -> Result<i64, RoomRefusal> {
        let idle = worker.idle_cpu_milli(capacity);
        let idle = idle.checked_sub(demand.step.size.cpu_milli);
        let idle = idle.ok_or(RoomRefusal::Processors)?;
        let serving = worker.serving_runs();
        if serving
            .iter()
            .any(|run| run.percent() > HIGH_LATENCY_PERCENT)
        {
            return Err(RoomRefusal::Latency);
        }
        let slack = self.lowest_slack(demand, &serving, worker);
        let score = data_rack_bonus(demand, worker) + scaled(slack);
        if slack < 0.0 {
            return Err(RoomRefusal::Interference);
        }
        Ok(score + share_of(idle, capacity) / FREE_CPU_DIVISOR)
    }

    /// Load that the latency-sensitive runs are expected to tolerate beside the task.
    fn lowest_slack(
        &self,
        demand: &TaskDemand<'_>,
        serving: &[ServingRun],
        worker: &TrackedWorker,
    ) -> f64 {
        let mut neighbours = worker.best_effort_runs(self.now);
        if let Some(image) = demand.image {
            neighbours.push(BestEffortRun::at_full_pace(demand, image));
        }
        let slacks = serving
            .iter()
            .map(|serving| self.interference.slack(serving, &neighbours));
        slacks.min_by(f64::total_cmp).unwrap_or(EMPTY_WORKER_SLACK)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a load is between -1 and 1"
)]
fn scaled(load: f64) -> i64 {
    (load * 10_000.0) as i64
}
