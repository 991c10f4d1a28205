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

/// Bonus of a worker that has room for an overdue task like for any other.
const ROOM_BONUS: i64 = 1_000 * SCORE_SCALE;

/// Cost of each overdue run that a worker has, which spreads them.
const OVERDUE_RUN_COST: i64 = SCORE_SCALE;

impl WorkerScorer<'_> {
    /// Score of a worker for a best-effort task that its memory would do for; `None` if the
    /// task cannot start there. An overdue one can share processor time that is not idle where
    /// no latency-sensitive run is, and start at a low pace where all latencies are low.
    pub(super) fn score_or_share(
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
        with_room
            .or_else(|| share_score(demand, capacity, worker))
            .or_else(|| self.slow_start_score(demand, capacity, worker))
    }

    /// Whether a run of the task on the worker has to start at a low pace: it is expected to
    /// slow latency-sensitive runs there.
    pub(crate) fn starts_slowly(&self, demand: &TaskDemand<'_>, worker: &TrackedWorker) -> bool {
        let capacity = worker
            .entry
            .as_ref()
            .map_or(0, |entry| entry.capacity.cpu_milli);
        demand.is_overdue
            && demand.step.is_best_effort
            && worker.has_latency_target()
            && self
                .best_effort_score(demand, capacity.max(1), worker)
                .is_err()
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
    pub(super) fn lowest_slack(
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

/// Score of a worker without idle processor time for an overdue task; `None` if it has
/// latency-sensitive runs.
fn share_score(demand: &TaskDemand<'_>, capacity: u64, worker: &TrackedWorker) -> Option<i64> {
    if worker.has_latency_target() {
        return None;
    }
    let idle = worker.idle_cpu_milli(capacity);
    let missing = demand.step.size.cpu_milli.saturating_sub(idle);
    let overdue_runs = i64::try_from(worker.overdue_runs()).unwrap_or(i64::MAX / SCORE_SCALE);
    let overdue_cost = overdue_runs * OVERDUE_RUN_COST;
    let missing_cost = share_of(missing, capacity) / FREE_CPU_DIVISOR;
    Some(data_rack_bonus(demand, worker) - missing_cost - overdue_cost)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a load is between -1 and 1"
)]
pub(super) fn scaled(load: f64) -> i64 {
    (load * 10_000.0) as i64
}
