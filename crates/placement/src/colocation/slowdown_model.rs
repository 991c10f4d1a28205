//! Prediction of the slowdown that jobs cause.

use crate::SlowdownSample;
use crate::colocation::job_interference::JobInterference;
use sapphirestile_core::JobName;
use sapphirestile_core::SortedTable;

/// The learning rate of a job is 1/n after n samples, but at least one over this.
const STEP_DIVISOR_MAX: i64 = 4;
const STEP_DIVISOR_MIN: i64 = 1;
/// Larger measured slowdowns count as this, and no learned value exceeds it.
const INTERFERENCE_MAX_PERMILLE: i64 = 4_000;

/// The interference of each job, in thousandths of slowdown.
///
/// The predicted slowdown of a worker is the sum over its tasks. Each sample corrects
/// the values of the jobs involved by a part of the prediction error.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::JobName;
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::SlowdownModel;
/// use sapphirestile_placement::SlowdownSample;
///
/// let heavy = JobName::try_from("heavy").unwrap();
/// let light = JobName::try_from("light").unwrap();
/// let mut model = SlowdownModel::default();
/// for second in 0..50 {
///     let measured = MonoTime::from_millis(second * 1_000);
///     let both = [&heavy, &light];
///     model.learn(&SlowdownSample { measured, slowdown_permille: 400, jobs: &both });
///     let one = [&light];
///     model.learn(&SlowdownSample { measured, slowdown_permille: 0, jobs: &one });
/// }
/// assert!(model.interference_of(&heavy) > 300);
/// assert!(model.interference_of(&light) < 50);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlowdownModel {
    jobs: SortedTable<JobName, JobInterference>,
}

impl SlowdownModel {
    /// Divides the prediction error equally among the tasks in the sample.
    ///
    /// Samples without jobs are ignored.
    pub fn learn(&mut self, sample: &SlowdownSample<'_>) {
        let count = i64::try_from(sample.jobs.len()).unwrap_or(i64::MAX);
        if count == 0 {
            return;
        }
        let measured = i64::try_from(sample.slowdown_permille).unwrap_or(i64::MAX);
        let error = measured.min(INTERFERENCE_MAX_PERMILLE) - self.predict(sample.jobs);
        for job in sample.jobs {
            let row = self
                .jobs
                .get_or_insert_with((*job).clone(), JobInterference::default);
            let divisor = i64::from(row.samples).clamp(STEP_DIVISOR_MIN, STEP_DIVISOR_MAX);
            let step = error / (count * divisor);
            row.permille = (row.permille + step).clamp(0, INTERFERENCE_MAX_PERMILLE);
            row.samples = row.samples.saturating_add(1);
        }
    }

    /// The predicted interference of a task of `job`, in thousandths; 0 for an
    /// unknown job.
    #[must_use]
    pub fn interference_of(&self, job: &JobName) -> u64 {
        let row = self.jobs.get(job);
        row.map_or(0, |row| u64::try_from(row.permille).unwrap_or(0))
    }

    /// Removes an ended job.
    pub fn forget_job(&mut self, job: &JobName) {
        self.jobs.remove(job);
    }

    fn predict(&self, jobs: &[&JobName]) -> i64 {
        jobs.iter()
            .map(|job| self.jobs.get(*job).map_or(0, |row| row.permille))
            .sum()
    }
}
