//! Estimation of task durations.

use crate::spec::StepSpec;
use sapphirestile_core::SortedTable;

/// Weight of a new run in the moving average of its queue.
const MEAN_RATE: f64 = 0.05;

/// Duration of the slowest task of a step, relative to a typical one.
const SLOWEST_FACTOR: f64 = 1.5;

/// Estimates how long tasks run, by queue. Estimates of callers are inaccurate, so the
/// expected duration is the geometric mean of the caller's estimate and of the average
/// of past runs in the queue.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::DurationEstimator;
/// use sapphirestile_jobs::StepSpec;
///
/// let mut estimator = DurationEstimator::default();
/// let step = StepSpec { tasks: 1, estimate_ms: 4_000, ..StepSpec::default() };
/// assert_eq!(estimator.step_ms("charts", &step), 4_000);
/// for _ in 0..200 {
///     estimator.observe("charts", 1_000);
/// }
/// assert_eq!(estimator.step_ms("charts", &step), 2_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct DurationEstimator {
    means_ms: SortedTable<Box<str>, f64>,
}

impl DurationEstimator {
    /// Records the duration of a completed run, in milliseconds.
    pub fn observe(&mut self, queue: &str, ran_ms: u64) {
        let ran_ms = millis(ran_ms);
        if let Some(mean_ms) = self.means_ms.get_mut(queue) {
            *mean_ms += MEAN_RATE * (ran_ms - *mean_ms);
        } else {
            self.means_ms.insert(queue.into(), ran_ms);
        }
    }

    /// Average durations by queue, in milliseconds.
    pub fn means(&self) -> impl Iterator<Item = (Box<str>, f64)> {
        let means = self.means_ms.iter();
        means.map(|(queue, mean_ms)| (queue.clone(), *mean_ms))
    }

    /// Restores averages from [`means`](Self::means).
    pub fn restore(&mut self, means_ms: &[(Box<str>, f64)]) {
        for (queue, mean_ms) in means_ms {
            self.means_ms.insert(queue.clone(), *mean_ms);
        }
    }

    /// Average duration in a queue, in milliseconds; `None` if no run has completed.
    #[must_use]
    pub fn mean_ms(&self, queue: &str) -> Option<u64> {
        self.means_ms.get(queue).copied().map(rounded)
    }

    /// Expected time until the last task of a step ends, when all of them start at once, in
    /// milliseconds.
    #[must_use]
    pub fn step_ms(&self, queue: &str, step: &StepSpec) -> u64 {
        let estimate_ms = millis(step.estimate_ms);
        let mean_ms = self.means_ms.get(queue).copied().unwrap_or(estimate_ms);
        let usual_ms = (estimate_ms * mean_ms).sqrt();
        let expected_ms = if step.tasks > 1 {
            usual_ms * SLOWEST_FACTOR
        } else {
            usual_ms
        };
        rounded(expected_ms)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations are positive and far below the maximum"
)]
fn rounded(milliseconds: f64) -> u64 {
    milliseconds.round() as u64
}

#[expect(clippy::cast_precision_loss, reason = "durations are small numbers")]
fn millis(milliseconds: u64) -> f64 {
    milliseconds as f64
}
