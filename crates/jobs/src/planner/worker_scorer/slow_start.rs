//! Scoring of workers for an overdue best-effort task that would start at a low pace.

use super::best_effort::scaled;
use super::data_rack_bonus;
use crate::pacing::PacePlan;
use crate::planner::TaskDemand;
use crate::planner::WorkerScorer;
use crate::spec::TaskIdentity;
use crate::worker::RunEntry;
use crate::worker::TrackedWorker;
use sapphirestile_core::MonoTime;

/// Cost of placing a task beside latency-sensitive runs that it is expected to slow, so that
/// any other worker scores higher.
const SLOW_START_COST: i64 = 1_000 * super::SCORE_SCALE;

/// A latency up to this share of its target is low, in percent.
const CALM_PERCENT_MAX: u64 = 30;

/// A latency up to this share of its target is low if it shows hardly any load, in percent:
/// some images have no lower one.
const UNLOADED_PERCENT_MAX: u64 = 50;

/// Load up to which a run counts as having hardly any.
const UNLOADED_MAX: f64 = 0.2;

/// Time after a change of pace, or after a run was moved away, until another run may start at a
/// low pace, in milliseconds.
const CALM_AFTER_CHANGE_MS: u64 = 2_000;

/// A run that has no latency for this long serves nobody now, in milliseconds. Before, its
/// latency is not known.
const LATENCY_KNOWN_AFTER_MS: u64 = 3_000;

const FULL_PERCENT: u64 = 100;

impl WorkerScorer<'_> {
    /// Score of a worker whose latency-sensitive runs all have a low measured latency, for an
    /// overdue task that would run alone beside them, at a low pace; `None` if it cannot start
    /// there. What is measured counts here and not what is expected: while nothing runs beside
    /// them, no measurement could show that an expectation is wrong.
    pub(super) fn slow_start_score(
        &self,
        demand: &TaskDemand<'_>,
        capacity: u64,
        worker: &TrackedWorker,
    ) -> Option<i64> {
        // Under load the processors are better used by jobs that can still be on time.
        if self.has_new_waits {
            return None;
        }
        // Without an image the run could not be slowed down or moved.
        let has_image = demand.image.is_some();
        let pace_percent = u64::from(PacePlan::LOWEST_PERCENT);
        let needed = demand.step.size.cpu_milli.saturating_mul(pace_percent) / FULL_PERCENT;
        let is_idle = needed <= worker.idle_cpu_milli(capacity);
        if !has_image || !is_idle || !self.is_calm(worker) {
            return None;
        }
        let slack = self.lowest_slack(demand, &worker.serving_runs(), worker);
        Some(data_rack_bonus(demand, worker) - SLOW_START_COST + scaled(slack))
    }

    /// Whether the worker has no best-effort run, has had none moved away just now, and all its
    /// latencies are low.
    fn is_calm(&self, worker: &TrackedWorker) -> bool {
        let is_settled = worker.pace_changed == MonoTime::default()
            || self.now.millis_since(worker.pace_changed) >= CALM_AFTER_CHANGE_MS;
        let mut runs = worker.runs.iter();
        is_settled && runs.all(|(task, run)| !run.is_best_effort && self.is_low(*task, run))
    }

    /// Whether a run has a low latency, or none to keep.
    fn is_low(&self, task: TaskIdentity, run: &RunEntry) -> bool {
        let Some(target_ms) = run.latency_target_ms else {
            return true;
        };
        if run.measurement == 0 {
            return self.now.millis_since(run.since) >= LATENCY_KNOWN_AFTER_MS;
        }
        let is_unloaded = run
            .as_serving(task)
            .is_some_and(|serving| self.interference.current_load(&serving) <= UNLOADED_MAX);
        let percent_max = if is_unloaded {
            UNLOADED_PERCENT_MAX
        } else {
            CALM_PERCENT_MAX
        };
        run.measurement.saturating_mul(FULL_PERCENT) <= target_ms.saturating_mul(percent_max)
    }
}
