//! How long tasks run.

use crate::order::StepOrder;
use sapphirestile_core::SortedTable;

/// How far a run moves the mean of its queue, as a share of the difference.
const RATE: f64 = 0.05;

/// How much longer the slowest task of a step runs than a usual one.
const SLOWEST_FACTOR: f64 = 1.5;

/// Learns how long tasks of a queue run. What callers estimate is far from the
/// truth, so a task is expected to run for the geometric mean of the estimate and of
/// what others of its queue took.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::DurationBook;
/// use sapphirestile_jobs::StepOrder;
///
/// let mut book = DurationBook::default();
/// let step = StepOrder { tasks: 1, estimate_ms: 4_000, ..StepOrder::default() };
/// assert_eq!(book.step_ms("charts", &step), 4_000);
/// for _ in 0..200 {
///     book.observe("charts", 1_000);
/// }
/// assert_eq!(book.step_ms("charts", &step), 2_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct DurationBook {
    means_ms: SortedTable<Box<str>, f64>,
}

impl DurationBook {
    /// Takes note of a run that was done, in milliseconds.
    pub fn observe(&mut self, queue: &str, ran_ms: u64) {
        let ran_ms = millis(ran_ms);
        if let Some(mean_ms) = self.means_ms.get_mut(queue) {
            *mean_ms += RATE * (ran_ms - *mean_ms);
        } else {
            self.means_ms.insert(queue.into(), ran_ms);
        }
    }

    /// The means of all queues, in milliseconds.
    pub fn means(&self) -> impl Iterator<Item = (Box<str>, f64)> {
        let means = self.means_ms.iter();
        means.map(|(queue, mean_ms)| (queue.clone(), *mean_ms))
    }

    /// Begins with means that were learnt before, in milliseconds.
    pub fn recall(&mut self, means_ms: &[(Box<str>, f64)]) {
        for (queue, mean_ms) in means_ms {
            self.means_ms.insert(queue.clone(), *mean_ms);
        }
    }

    /// The mean of a queue, in milliseconds, once a run was done.
    #[must_use]
    pub fn mean_ms(&self, queue: &str) -> Option<u64> {
        self.means_ms.get(queue).copied().map(whole)
    }

    /// How long a step is expected to run from the start of all its tasks, in
    /// milliseconds.
    #[must_use]
    pub fn step_ms(&self, queue: &str, step: &StepOrder) -> u64 {
        let estimate_ms = millis(step.estimate_ms);
        let mean_ms = self.means_ms.get(queue).copied().unwrap_or(estimate_ms);
        let usual_ms = (estimate_ms * mean_ms).sqrt();
        let expected_ms = if step.tasks > 1 {
            usual_ms * SLOWEST_FACTOR
        } else {
            usual_ms
        };
        whole(expected_ms)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations are positive and far below the largest number"
)]
fn whole(milliseconds: f64) -> u64 {
    milliseconds.round() as u64
}

#[expect(clippy::cast_precision_loss, reason = "durations are short")]
fn millis(milliseconds: u64) -> f64 {
    milliseconds as f64
}
