//! Model of the interference between images.

use crate::pacing::BestEffortRun;
use crate::pacing::ImageNumber;
use crate::pacing::PairEstimate;
use crate::pacing::ServingRun;
use crate::spec::JobIdentity;
use sapphirestile_core::SortedTable;

/// Learning rate of the own load of a job, as a share of the error. It is high because
/// that load changes within seconds.
const OWN_RATE: f64 = 0.25;

/// Own load that is assumed for a job before its first measurement.
const OWN_LOAD_INITIAL: f64 = 0.3;

/// Learning rate of the load coefficients, as a share of the error.
const COEFFICIENT_RATE: f64 = 0.12;

/// Lower bound of the normalisation, which keeps adjustments finite when neighbours used
/// hardly any processor time.
const POWER_MIN: f64 = 4.0;

/// Loads above this are underestimated from the latency, which has an upper limit.
const SATURATED_LOAD: f64 = 0.93;

/// Maximum predicted latency at which another run may be placed, as a share of the target.
const PREDICTED_SHARE_MAX: f64 = 0.8;

/// Learns how much load a processor used by runs of one image adds to runs of another.
///
/// Latency is modelled as that of a queue: the lowest latency seen for the image, divided
/// by the idle share of its server. Loads are additive, so the load beyond the job's own is
/// attributed to its neighbours, in proportion to the processors that they use. Each
/// observation adjusts the own load and the coefficients of the neighbours by normalised
/// least mean squares.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::BestEffortRun;
/// use sapphirestile_jobs::ImageTable;
/// use sapphirestile_jobs::InterferenceModel;
/// use sapphirestile_jobs::ServingRun;
/// use sapphirestile_jobs::TaskIdentity;
///
/// let mut images = ImageTable::default();
/// let (resize, desk) = (images.number("resize"), images.number("desk"));
/// let noisy = BestEffortRun {
///     task: TaskIdentity::try_from("5c0e7a21d94b36f8.0.0.0").unwrap(),
///     image: resize,
///     processors: 8.0,
///     used_processors: 8.0,
///     pace_percent: 100,
///     can_move: true,
///     is_slowed_first: false,
/// };
/// let job = noisy.task.job;
/// let serving = ServingRun { job, image: desk, latency_ms: 25, target_ms: 150 };
/// let mut model = InterferenceModel::default();
/// model.observe(&serving, &[]);
/// assert!(model.allows(&serving, &[noisy]));
/// for _ in 0..30 {
///     model.observe(&ServingRun { latency_ms: 500, ..serving }, &[noisy]);
/// }
/// assert!(!model.allows(&serving, &[noisy]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    /// Load that a processor used by the first image adds to runs of the second.
    estimates: SortedTable<(ImageNumber, ImageNumber), PairEstimate>,
    /// Load of a job without neighbours, from 0 to 1.
    own_loads: SortedTable<JobIdentity, f64>,
    /// Lowest latency seen for an image, in milliseconds.
    lowest_ms: SortedTable<ImageNumber, u64>,
}

impl InterferenceModel {
    /// Learns from the latest latency of a run and its neighbours at that time. Has no effect
    /// if the latency is not known.
    pub fn observe(&mut self, serving: &ServingRun, neighbours: &[BestEffortRun]) {
        if serving.latency_ms == 0 {
            return;
        }
        let lowest_ms = self
            .lowest_ms
            .get_or_insert_with(serving.image, || serving.latency_ms);
        *lowest_ms = (*lowest_ms).min(serving.latency_ms);
        let observed = load_from_latency(serving.latency_ms, *lowest_ms);
        let added: f64 = neighbours
            .iter()
            .map(|run| self.coefficient(run.image, serving.image) * run.used_processors)
            .sum();
        let own_load = self.own_load(serving);
        let error = observed - own_load - added;
        if observed > SATURATED_LOAD && error < 0.0 {
            return;
        }
        let own_load = OWN_RATE.mul_add(error, own_load).clamp(0.0, 1.0);
        self.own_loads.insert(serving.job, own_load);
        self.adjust_coefficients(serving.image, neighbours, error);
    }

    /// Load that a run at full pace adds to a latency-sensitive run.
    #[must_use]
    pub fn added_load(&self, run: &BestEffortRun, serving: &ServingRun) -> f64 {
        self.coefficient(run.image, serving.image) * run.processors
    }

    /// Whether a latency-sensitive run is expected to stay below its target, with neighbours
    /// at their current paces.
    #[must_use]
    pub fn allows(&self, serving: &ServingRun, neighbours: &[BestEffortRun]) -> bool {
        self.slack(serving, neighbours) >= 0.0
    }

    /// Additional load that a latency-sensitive run is expected to tolerate, with neighbours
    /// at their current paces; negative if it would be too slow.
    #[must_use]
    pub fn slack(&self, serving: &ServingRun, neighbours: &[BestEffortRun]) -> f64 {
        let added: f64 = neighbours
            .iter()
            .map(|run| self.added_load(run, serving) * f64::from(run.pace_percent) / 100.0)
            .sum();
        self.load_at(serving, PREDICTED_SHARE_MAX) - self.own_load(serving) - added
    }

    /// Load at which the latency of a run equals the given share of its target.
    #[must_use]
    pub fn load_at(&self, serving: &ServingRun, share: f64) -> f64 {
        let lowest_ms = self.lowest_ms.get(&serving.image).copied().unwrap_or(1);
        1.0 - millis(lowest_ms) / (millis(serving.target_ms) * share).max(1.0)
    }

    /// Load that corresponds to the latest latency of a run.
    #[must_use]
    pub fn current_load(&self, serving: &ServingRun) -> f64 {
        let lowest_ms = self.lowest_ms.get(&serving.image).copied().unwrap_or(1);
        load_from_latency(serving.latency_ms, lowest_ms)
    }

    /// Estimates of the load that a processor used by the first image of a pair adds to runs
    /// of the second.
    pub fn estimates(&self) -> impl Iterator<Item = ((ImageNumber, ImageNumber), PairEstimate)> {
        self.estimates
            .iter()
            .map(|(pair, estimate)| (*pair, *estimate))
    }

    /// Restores a row of [`estimates`](Self::estimates).
    pub fn restore_estimate(&mut self, pair: (ImageNumber, ImageNumber), estimate: PairEstimate) {
        self.estimates.insert(pair, estimate);
    }

    /// Replaces the estimated load of a pair by the mean over its own and other measurements,
    /// whose loads sum up to `load_sum`.
    pub fn merge_estimate(
        &mut self,
        pair: (ImageNumber, ImageNumber),
        load_sum: f64,
        measurements: u32,
    ) {
        let estimate = self
            .estimates
            .get_or_insert_with(pair, PairEstimate::default);
        let own_sum = estimate.load * f64::from(estimate.measurements);
        let all = estimate.measurements.saturating_add(measurements);
        if all > 0 {
            estimate.load = (own_sum + load_sum) / f64::from(all);
        }
    }

    /// Takes over the lowest latency that another owner has seen, if it is lower.
    pub fn merge_lowest(&mut self, image: ImageNumber, lowest_ms: u64) {
        let own_ms = self.lowest_ms.get_or_insert_with(image, || lowest_ms);
        *own_ms = (*own_ms).min(lowest_ms);
    }

    /// Lowest latency seen for each image, in milliseconds.
    pub fn lowest_latencies(&self) -> impl Iterator<Item = (ImageNumber, u64)> {
        let rows = self.lowest_ms.iter();
        rows.map(|(image, lowest_ms)| (*image, *lowest_ms))
    }

    /// Restores a row of [`lowest_latencies`](Self::lowest_latencies).
    pub fn restore_lowest(&mut self, image: ImageNumber, lowest_ms: u64) {
        self.lowest_ms.insert(image, lowest_ms);
    }

    /// Drops the own load of a job that has ended.
    pub fn forget(&mut self, job: &JobIdentity) {
        self.own_loads.remove(job);
    }

    fn own_load(&self, serving: &ServingRun) -> f64 {
        let own_load = self.own_loads.get(&serving.job);
        own_load.copied().unwrap_or(OWN_LOAD_INITIAL)
    }

    fn adjust_coefficients(
        &mut self,
        serving: ImageNumber,
        neighbours: &[BestEffortRun],
        error: f64,
    ) {
        let power: f64 = neighbours
            .iter()
            .map(|run| run.used_processors * run.used_processors)
            .sum();
        let step = COEFFICIENT_RATE * error / power.max(POWER_MIN);
        for run in neighbours {
            let pair = (run.image, serving);
            let estimate = self
                .estimates
                .get_or_insert_with(pair, PairEstimate::default);
            estimate.load = step.mul_add(run.used_processors, estimate.load).max(0.0);
            estimate.measurements = estimate.measurements.saturating_add(1);
        }
    }

    fn coefficient(&self, best_effort: ImageNumber, serving: ImageNumber) -> f64 {
        let estimate = self.estimates.get(&(best_effort, serving));
        estimate.map_or(0.0, |estimate| estimate.load)
    }
}

fn load_from_latency(latency_ms: u64, lowest_ms: u64) -> f64 {
    (1.0 - millis(lowest_ms) / millis(latency_ms).max(1.0)).max(0.0)
}

#[expect(clippy::cast_precision_loss, reason = "latencies are small numbers")]
fn millis(milliseconds: u64) -> f64 {
    milliseconds as f64
}
