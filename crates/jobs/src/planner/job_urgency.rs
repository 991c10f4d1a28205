//! Urgency of a waiting job.

use crate::planner::DurationEstimator;
use crate::planner::UrgencyClass;
use crate::policy::QueuePolicy;
use crate::progress::JobProgress;
use crate::spec::JobSpec;

/// A job that takes longer than this multiple of its objective has no value any more.
const USELESS_FACTOR: u64 = 3;

/// Sort key of a waiting job: by priority, then by class, then by margin.
///
/// Under overload, first-come first-served makes every job late. With this order, jobs
/// that have started continue, jobs that can still meet their objective overtake those
/// that cannot, and jobs that are too late to be of use get only spare capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobUrgency {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Whether the job can still meet its objective.
    pub class: UrgencyClass,
    /// Time by which the job is expected to end before its objective, in milliseconds;
    /// negative if after. For repeated and long-running jobs, the negated age.
    pub margin_ms: i64,
}

impl JobUrgency {
    /// Computes the urgency of a job that was accepted `age_ms` milliseconds ago. `queue`
    /// is `None` if the queue is no longer configured.
    #[must_use]
    pub fn of(
        spec: &JobSpec,
        progress: &JobProgress,
        queue: Option<&QueuePolicy>,
        estimator: &DurationEstimator,
        age_ms: u64,
    ) -> Self {
        let priority = queue.map_or(spec.terms.priority, |queue| queue.terms.priority);
        if spec.is_long_running() || spec.repeat.is_some() {
            return Self {
                priority,
                class: UrgencyClass::StartedOnTime,
                margin_ms: -signed(age_ms),
            };
        }
        let path_ms = critical_path_ms(spec, None, estimator);
        let remaining_ms = critical_path_ms(spec, Some(progress), estimator);
        let (stretch, base_objective_ms) =
            queue.map_or((1.0, 0), |queue| (queue.stretch, queue.base_objective_ms));
        let objective_ms = scaled(path_ms, stretch) + base_objective_ms;
        let end_ms = age_ms + remaining_ms;
        let class = if end_ms > objective_ms * USELESS_FACTOR {
            UrgencyClass::Useless
        } else if end_ms > objective_ms {
            UrgencyClass::Late
        } else if progress.is_untouched() {
            UrgencyClass::OnTime
        } else {
            UrgencyClass::StartedOnTime
        };
        Self {
            priority,
            class,
            margin_ms: signed(objective_ms) - signed(end_ms),
        }
    }
}

/// Critical path of a job, in milliseconds. With `progress`, only steps that are not
/// done in its first active occurrence count.
fn critical_path_ms(
    spec: &JobSpec,
    progress: Option<&JobProgress>,
    estimator: &DurationEstimator,
) -> u64 {
    let occurrence = progress.and_then(|progress| progress.occurrences.first());
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (index, step) in spec.steps.iter().enumerate() {
        let is_done = occurrence.is_some_and(|occurrence| occurrence.steps[index].is_done());
        let dependencies_end = step
            .after
            .iter()
            .map(|&dependency| ends[dependency as usize])
            .max();
        let own_ms = if is_done {
            0
        } else {
            estimator.step_ms(&spec.queue, step)
        };
        ends.push(dependencies_end.unwrap_or(0) + own_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations are positive and far below the maximum"
)]
fn scaled(milliseconds: u64, stretch: f64) -> u64 {
    (milliseconds as f64 * stretch) as u64
}

fn signed(milliseconds: u64) -> i64 {
    i64::try_from(milliseconds).unwrap_or(i64::MAX / 4)
}
