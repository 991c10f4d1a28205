//! How much each job disturbs others.

use crate::SlowdownSample;
use crate::colocation::noise_row::NoiseRow;
use sapphirestile_core::JobName;
use sapphirestile_core::SortedTable;

/// The first samples of a job move its value most, later ones by this part at least.
const STEP_DIVISOR_MAX: i64 = 4;
const STEP_DIVISOR_MIN: i64 = 1;
const NOISE_MAX_PERMILLE: i64 = 4_000;

/// Disturbance for each job, learnt by correcting the error of its prediction.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::JobName;
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::NoiseBook;
/// use sapphirestile_placement::SlowdownSample;
///
/// let loud = JobName::try_from("loud").unwrap();
/// let quiet = JobName::try_from("quiet").unwrap();
/// let mut book = NoiseBook::default();
/// for second in 0..50 {
///     let measured = MonoTime::from_millis(second * 1_000);
///     let both = [&loud, &quiet];
///     book.learn(&SlowdownSample { measured, slowdown_permille: 400, jobs: &both });
///     let one = [&quiet];
///     book.learn(&SlowdownSample { measured, slowdown_permille: 0, jobs: &one });
/// }
/// assert!(book.noise_of(&loud) > 300);
/// assert!(book.noise_of(&quiet) < 50);
/// ```
#[derive(Clone, Debug, Default)]
pub struct NoiseBook {
    jobs: SortedTable<JobName, NoiseRow>,
}

impl NoiseBook {
    /// Shares the error of the prediction out among the jobs that ran there.
    pub fn learn(&mut self, sample: &SlowdownSample<'_>) {
        let count = i64::try_from(sample.jobs.len()).unwrap_or(i64::MAX);
        if count == 0 {
            return;
        }
        let seen = i64::try_from(sample.slowdown_permille).unwrap_or(i64::MAX);
        let error = seen.min(NOISE_MAX_PERMILLE) - self.predict(sample.jobs);
        for job in sample.jobs {
            let row = self
                .jobs
                .get_or_insert_with((*job).clone(), NoiseRow::default);
            let divisor = i64::from(row.samples).clamp(STEP_DIVISOR_MIN, STEP_DIVISOR_MAX);
            let step = error / (count * divisor);
            row.permille = (row.permille + step).clamp(0, NOISE_MAX_PERMILLE);
            row.samples = row.samples.saturating_add(1);
        }
    }

    /// How much a task of `job` disturbs, in thousandths; 0 for an unknown job.
    #[must_use]
    pub fn noise_of(&self, job: &JobName) -> u64 {
        let row = self.jobs.get(job);
        row.map_or(0, |row| u64::try_from(row.permille).unwrap_or(0))
    }

    /// Forgets a job that has ended.
    pub fn forget_job(&mut self, job: &JobName) {
        self.jobs.remove(job);
    }

    fn predict(&self, jobs: &[&JobName]) -> i64 {
        jobs.iter()
            .map(|job| self.jobs.get(*job).map_or(0, |row| row.permille))
            .sum()
    }
}
